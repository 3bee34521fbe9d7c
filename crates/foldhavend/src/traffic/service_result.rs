//! Results of requests to plain services.

use foldhaven_core::attempt::RequestOutcome;
use foldhaven_core::refusal::RefusalAnswer;

use super::call::WholeAnswer;

/// The answer of a service to a request.
#[derive(Debug, Clone)]
pub struct ServiceAnswer {
    pub answer: WholeAnswer,
    pub outcome: RequestOutcome,
    /// The data centre of the instance that answered.
    pub served_by: String,
}

/// The result of a service request, shared by all callers that wait for it.
pub type ServiceResult = Result<ServiceAnswer, RefusalAnswer>;
