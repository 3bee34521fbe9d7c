//! Names of the HTTP headers that callers, daemons and upstreams exchange.

/// The account that the caller belongs to.
pub const ACCOUNT: &str = "foldhaven-account";
/// The request class.
pub const CLASS: &str = "foldhaven-class";
/// The time that the caller still gives, in milliseconds.
pub const DEADLINE_MS: &str = "foldhaven-deadline-ms";
/// The worth of this request, instead of the one of its class.
pub const WORTH: &str = "foldhaven-worth";
/// The request id; chosen by the caller or else by the origin daemon.
pub const REQUEST_ID: &str = "foldhaven-request-id";
/// `no` for a request that may run at most once.
pub const REPEATABLE: &str = "foldhaven-repeatable";
/// The ticket of a request that may run at most once.
pub const TICKET: &str = "foldhaven-ticket";
/// How a request ended: `complete`, `not_run` or `unknown`.
pub const OUTCOME: &str = "foldhaven-outcome";
/// The data centre that ran the request.
pub const SERVED_BY: &str = "foldhaven-served-by";
/// The attempt, towards peers and upstreams.
pub const ATTEMPT_ID: &str = "foldhaven-attempt-id";
/// In an answer: the attempt that was refused and recorded as such, before any of it ran.
pub const REFUSED_ATTEMPT: &str = "foldhaven-refused-attempt";
/// The data centres that a forwarded request has been in, the origin's first.
pub const VISITED: &str = "foldhaven-visited";
/// The stamp of the description that the sender decided by.
pub const STAMP: &str = "foldhaven-stamp";
/// The position in the output from which an engine is to resume.
pub const RESUME_FROM: &str = "foldhaven-resume-from";
/// The priority that an engine is to give a request; larger goes first.
pub const PRIORITY: &str = "foldhaven-priority";
/// The data centre of the origin of a forwarded ticketed request.
pub const FORWARDED_TICKET: &str = "foldhaven-forwarded-ticket";
/// How long the caller of a forwarded request had waited before, in milliseconds.
pub const WAITED_MS: &str = "foldhaven-waited-ms";
/// The count of the platform's changes that a told state goes up to.
pub const REVISION: &str = "foldhaven-revision";
/// Set by a VM that asks for changes and understands differences that span several versions.
pub const SPANS: &str = "foldhaven-spans";
/// Set on a forwarded request whose caller has got the beginning of an answer, which is to go on here.
pub const BEGUN: &str = "foldhaven-begun";
/// The print of the key under which a forwarded opaque request came, in place of the key.
pub const KEY_FINGERPRINT: &str = "foldhaven-key-print";
/// The service that the origin of a forwarded opaque request chose.
pub const SERVICE: &str = "foldhaven-service";
