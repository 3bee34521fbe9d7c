//! Identifiers as newtypes, so that a name of one kind cannot be passed for another.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The longest name that an identifier may have, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// The longest request id that a caller may choose, in bytes.
pub const MAX_REQUEST_ID_BYTES: usize = 96;

/// Why a text is not an identifier.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum IdError {
    /// a {kind} must have 1 to {max} bytes, got {got}
    Length {
        /// What the text should have named.
        kind: &'static str,
        /// The longest permitted length in bytes.
        max: usize,
        /// The length found, in bytes.
        got: usize,
    },
    /// a {kind} may hold letters, digits, '-', '_' and '.', got {got:?}
    Character {
        /// What the text should have named.
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
    let permitted = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    match text.chars().find(|c| !permitted(*c)) {
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
            /// The identifier as text.
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
    /// A region, which holds one or more data centres.
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
    /// An upstream: a model engine or a plain service instance.
    UpstreamName, "upstream name", MAX_NAME_BYTES
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
    /// A request, as the caller or else the origin daemon named it.
    RequestId, "request id", MAX_REQUEST_ID_BYTES
);

/// One process lifetime of a daemon: its start time in milliseconds since the epoch.
///
/// A later start of the same VM has a larger incarnation.
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

/// When a process of an upstream started, in milliseconds since the epoch by its own clock.
///
/// A process that starts again may have the name of the one before it; its birth differs. Births are compared for equality
/// only, since clocks are set back. 0 stands for an upstream that names none.
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

/// One try to run a request at one upstream or peer, unique over all daemons.
///
/// ```
/// use foldhaven_core::ids::AttemptId;
/// let id: AttemptId = "req-7@vm-1.1700.2".parse().unwrap();
/// assert_eq!(id.to_string(), "req-7@vm-1.1700.2");
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The request that is tried.
    pub request: RequestId,
    /// The daemon that decided on the try.
    pub origin: VmName,
    /// The process lifetime of that daemon.
    pub incarnation: IncarnationId,
    /// The number of the try within that process lifetime.
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
