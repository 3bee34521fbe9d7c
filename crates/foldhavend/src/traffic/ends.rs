//! How requests to plain services end.

use foldhaven_core::attempt::RequestOutcome;
use foldhaven_core::refusal::RefusalAnswer;

use super::call::WholeAnswer;

/// A service request that was answered by the service.
#[derive(Debug, Clone)]
pub struct ServiceEnd {
    pub answer: WholeAnswer,
    pub outcome: RequestOutcome,
    pub served_by: String,
}

/// How a service request ended, for everybody who waits for it.
pub type ServiceResult = Result<ServiceEnd, RefusalAnswer>;
