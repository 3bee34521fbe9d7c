//! Names of the HTTP headers that callers, daemons and upstreams exchange.

/// The account that the caller belongs to.
pub const ACCOUNT: &str = "foldhaven-account";
/// The request class.
pub const CLASS: &str = "foldhaven-class";
/// The time until the caller's deadline, in milliseconds.
pub const DEADLINE_MS: &str = "foldhaven-deadline-ms";
/// The worth of this request. It overrides the worth of the request's class.
pub const WORTH: &str = "foldhaven-worth";
/// The request id, chosen by the caller, or else by the origin daemon.
pub const REQUEST_ID: &str = "foldhaven-request-id";
/// Whether the request may run more than once: `yes` (the default) leaves that to its class, `no`
/// forbids it.
pub const REPEATABLE: &str = "foldhaven-repeatable";
/// The ticket of a request that may run at most once.
pub const TICKET: &str = "foldhaven-ticket";
/// The outcome of a request: `complete`, `not_run` or `unknown`.
pub const OUTCOME: &str = "foldhaven-outcome";
/// The data centre that ran the request.
pub const SERVED_BY: &str = "foldhaven-served-by";
/// The attempt id, sent to peers and upstreams.
pub const ATTEMPT_ID: &str = "foldhaven-attempt-id";
/// In an answer: the attempt that the receiver refused, and recorded as refused, before any part of
/// it ran.
pub const REFUSED_ATTEMPT: &str = "foldhaven-refused-attempt";
/// Set on the refusal of a forwarded request that the receiver could not send to any upstream.
pub const UNREACHED: &str = "foldhaven-unreached";
/// The data centres that a forwarded request passed through, the origin's first.
pub const VISITED: &str = "foldhaven-visited";
/// The stamp of the description by which the sender routed the request.
pub const STAMP: &str = "foldhaven-stamp";
/// The position in the output from which an engine must resume.
pub const RESUME_FROM: &str = "foldhaven-resume-from";
/// The priority of a request at an engine. Larger values go first.
pub const PRIORITY: &str = "foldhaven-priority";
/// The data centre of the origin of a forwarded ticketed request.
pub const FORWARDED_TICKET: &str = "foldhaven-forwarded-ticket";
/// The time that the caller of a forwarded request had already waited, in milliseconds.
pub const WAITED_MS: &str = "foldhaven-waited-ms";
/// The part of that time which passed before the present try of the caller, in milliseconds.
pub const EARLIER_TRIES_MS: &str = "foldhaven-earlier-tries-ms";
/// The platform revision up to which a transferred state is current.
pub const REVISION: &str = "foldhaven-revision";
/// Set by a VM that requests changes and supports deltas that span several versions.
pub const SPANS: &str = "foldhaven-spans";
/// Set by a VM that requests the platform state and reads the software versions of upstreams.
pub const READS_SOFTWARE: &str = "foldhaven-reads-software";
/// Set on a forwarded request whose caller already got the beginning of the answer, which the
/// receiver must continue.
pub const BEGUN: &str = "foldhaven-begun";
/// Set on a forwarded request by a VM that reads the notice of a stalled stream.
pub const READS_STALLS: &str = "foldhaven-reads-stalls";
/// Set on a forwarded request that its origin can't send again, so that it waits for an upstream that
/// is silent.
pub const LAST_ATTEMPT: &str = "foldhaven-last-attempt";
/// On the answer to a forwarded request, the upstream that it comes from or that gave none, and on a
/// forwarded request, each upstream that was tried.
pub const UPSTREAM: &str = "foldhaven-upstream";
/// Set on a forwarded request by a VM that reads the events of its answer in frames, and on such an
/// answer.
pub const EVENT_FRAMES: &str = "foldhaven-event-frames";
/// The tag of the software at which a stream began: on a forwarded request, that at which it has to
/// go on, and on the answer, that of the upstream which sends it.
pub const SOFTWARE: &str = "foldhaven-software";
/// Set on the answer to a forwarded request if the upstream's answer ends with its connection, so
/// that its end does not show that it is complete.
pub const UNFRAMED: &str = "foldhaven-unframed";
/// The fingerprint of the account key with which a forwarded opaque request arrived, sent in place
/// of the key.
pub const KEY_FINGERPRINT: &str = "foldhaven-key-print";
/// The service that the origin of a forwarded opaque request chose.
pub const SERVICE: &str = "foldhaven-service";
