//! Identifiers as newtypes, so that different kinds of names cannot be mixed up.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Maximum length of a request id, in bytes.
pub const MAX_REQUEST_ID_BYTES: usize = 96;

/// An error in parsing an identifier.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum IdError {
    /// a {kind} must have 1 to {max} bytes, got {got}
    Length {
        /// The kind of identifier expected.
        kind: &'static str,
        /// The maximum length in bytes.
        max: usize,
        /// The actual length in bytes.
        got: usize,
    },
    /// a {kind} may hold letters, digits, '-', '_' and '.', got {got:?}
    Character {
        /// The kind of identifier expected.
        kind: &'static str,
        /// The first character that is not permitted.
        got: char,
    },
}

fn check_name(kind: &'static str, max: usize, text: &str) -> Result<(), IdError> {
    if text.is_empty() || text.len() > max {
        let got = text.len();
        return Err(IdError::Length { kind, max, got });
    }
    let is_permitted = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    match text.chars().find(|c| !is_permitted(*c)) {
        Some(got) => Err(IdError::Character { kind, got }),
        None => Ok(()),
    }
}

macro_rules! name_id {
    ($(#[$doc:meta])* $name:ident, $kind:literal, $max:expr) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the identifier as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                check_name($kind, $max, text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = IdError;

            fn try_from(text: String) -> Result<Self, IdError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> String {
                id.0.to_string()
            }
        }
    };
}

name_id!(
    /// A client account, such as `bar-council`.
    AccountName, "account name", MAX_NAME_BYTES
);
name_id!(
    /// A region, which contains one or more data centres.
    RegionName, "region name", MAX_NAME_BYTES
);
name_id!(
    /// A data centre.
    DataCentreName, "data centre name", MAX_NAME_BYTES
);
name_id!(
    /// An entry VM, on which one daemon runs.
    VmName, "VM name", MAX_NAME_BYTES
);
name_id!(
    /// An upstream: a model engine or an instance of a plain service.
    UpstreamName, "upstream name", MAX_NAME_BYTES
);
name_id!(
    /// The version of the software that an upstream runs. Versions have no order.
    SoftwareVersion, "software version", MAX_NAME_BYTES
);
name_id!(
    /// A model in the description.
    ModelName, "model name", MAX_NAME_BYTES
);
name_id!(
    /// A plain service in the description.
    ServiceName, "service name", MAX_NAME_BYTES
);
name_id!(
    /// A request class in the description.
    ClassName, "class name", MAX_NAME_BYTES
);
name_id!(
    /// A residency rule in the description.
    RuleName, "residency rule name", MAX_NAME_BYTES
);
name_id!(
    /// A route of opaque requests in the description.
    RouteName, "route name", MAX_NAME_BYTES
);
name_id!(
    /// A request id, chosen by the caller, or else by the origin daemon.
    RequestId, "request id", MAX_REQUEST_ID_BYTES
);

/// An incarnation of a daemon: the start time of its process in milliseconds since the epoch.
///
/// A later incarnation of the same VM has a larger value.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct IncarnationId(pub u64);

impl fmt::Display for IncarnationId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

impl FromStr for IncarnationId {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// The start time of an upstream's process, in milliseconds since the epoch, by the upstream's
/// clock.
///
/// A restarted process may have the same name as the previous one, but its start time differs.
/// Start times are compared for equality only, since clocks may be set back. 0 means that the
/// upstream reports no start time.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct UpstreamStartTime(pub u64);

impl fmt::Display for UpstreamStartTime {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

impl FromStr for UpstreamStartTime {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// An attempt to run a request at an upstream or peer, unique across all daemons.
///
/// ```
/// use foldhaven_core::ids::AttemptId;
/// let id: AttemptId = "req-7@vm-1.1700.2".parse().unwrap();
/// assert_eq!(id.to_string(), "req-7@vm-1.1700.2");
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// The VM whose daemon started the attempt.
    pub origin: VmName,
    /// The incarnation of that daemon.
    pub incarnation: IncarnationId,
    /// The sequence number of the attempt within that incarnation.
    pub number: u64,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { request, origin, incarnation, number } = self;
        write!(formatter, "{request}@{origin}.{incarnation}.{number}")
    }
}

/// A text is not an attempt id: `REQUEST@VM.INCARNATION.NUMBER` was expected
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct AttemptIdError;

impl FromStr for AttemptId {
    type Err = AttemptIdError;

    fn from_str(text: &str) -> Result<Self, AttemptIdError> {
        let (request, rest) = text.split_once('@').ok_or(AttemptIdError)?;
        let mut parts = rest.rsplitn(3, '.');
        let number = parts.next().and_then(|part| part.parse().ok());
        let incarnation = parts.next().and_then(|part| part.parse().ok());
        let origin = parts.next().and_then(|part| part.parse().ok());
        Ok(Self {
            request: request.parse().map_err(|_| AttemptIdError)?,
            origin: origin.ok_or(AttemptIdError)?,
            incarnation: incarnation.ok_or(AttemptIdError)?,
            number: number.ok_or(AttemptIdError)?,
        })
    }
}
