//! Sizes, rates and durations as written in YAML, each with `Display` and `FromStr`.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// An error in parsing a quantity.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum UnitError {
    /// expected a number followed by one of {expected}, got {got:?}
    Unit {
        /// The supported units.
        expected: &'static str,
        /// The actual text.
        got: String,
    },
    /// expected a quantity of at least zero within range, got {0:?}
    Range(String),
}

fn split_number<'a>(text: &'a str, expected: &'static str) -> Result<(f64, &'a str), UnitError> {
    let end = text.find(|c: char| !c.is_ascii_digit() && c != '.').unwrap_or(text.len());
    let (number, unit) = text.split_at(end);
    let unit_error = || UnitError::Unit { expected, got: text.to_owned() };
    let value: f64 = number.parse().map_err(|_| unit_error())?;
    if !value.is_finite() {
        return Err(UnitError::Range(text.to_owned()));
    }
    Ok((value, unit.trim()))
}

macro_rules! string_serde {
    ($name:ident) => {
        impl TryFrom<String> for $name {
            type Error = UnitError;

            fn try_from(text: String) -> Result<Self, UnitError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(value: $name) -> String {
                value.to_string()
            }
        }
    };
}

/// A duration, written `1500us`, `250ms`, `20s`, `5m` or `1h`.
///
/// ```
/// use foldhaven_core::units::TimeSpan;
/// let span: TimeSpan = "1.5s".parse().unwrap();
/// assert_eq!(span.to_string(), "1500ms");
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct TimeSpan(pub Duration);

impl TimeSpan {
    /// Creates a duration from milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Self(Duration::from_millis(millis))
    }

    /// Creates a duration from seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(Duration::from_secs(secs))
    }
}

impl fmt::Display for TimeSpan {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let micros = self.0.as_micros();
        if micros.is_multiple_of(1_000_000) {
            write!(formatter, "{}s", micros / 1_000_000)
        } else if micros.is_multiple_of(1_000) {
            write!(formatter, "{}ms", micros / 1_000)
        } else {
            write!(formatter, "{micros}us")
        }
    }
}

impl FromStr for TimeSpan {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        const UNITS: &str = "us, ms, s, m, h";
        let (value, unit) = split_number(text, UNITS)?;
        let scale = match unit {
            "us" => 1e-6,
            "ms" => 1e-3,
            "s" => 1.0,
            "m" => 60.0,
            "h" => 3600.0,
            _ => return Err(UnitError::Unit { expected: UNITS, got: text.to_owned() }),
        };
        let span = Duration::try_from_secs_f64(value * scale);
        let span = span.map_err(|_| UnitError::Range(text.to_owned()))?;
        Ok(Self(span))
    }
}

string_serde!(TimeSpan);

/// A size in bytes, written `512B`, `64KiB`, `1MiB` or `16GiB`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ByteSize(pub u64);

impl fmt::Display for ByteSize {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (unit, scale) in [("GiB", 1u64 << 30), ("MiB", 1 << 20), ("KiB", 1 << 10)] {
            if self.0 >= scale && self.0.is_multiple_of(scale) {
                return write!(formatter, "{}{unit}", self.0 / scale);
            }
        }
        write!(formatter, "{}B", self.0)
    }
}

impl FromStr for ByteSize {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        const UNITS: &str = "B, KiB, MiB, GiB";
        let (value, unit) = split_number(text, UNITS)?;
        let scale = match unit {
            "B" => 1u64,
            "KiB" => 1 << 10,
            "MiB" => 1 << 20,
            "GiB" => 1 << 30,
            _ => return Err(UnitError::Unit { expected: UNITS, got: text.to_owned() }),
        };
        let bytes = value * scale as f64;
        if bytes > 1e18 {
            return Err(UnitError::Range(text.to_owned()));
        }
        Ok(Self(bytes as u64))
    }
}

string_serde!(ByteSize);

/// A rate in tokens per second, written `4000tok/s`.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct TokenRate(pub f64);

impl TokenRate {
    /// Returns the time needed to process the tokens at this rate.
    pub fn time_for(self, tokens: u64) -> Duration {
        Duration::from_secs_f64(tokens as f64 / self.0)
    }
}

impl fmt::Display for TokenRate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}tok/s", self.0)
    }
}

impl FromStr for TokenRate {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        const UNITS: &str = "tok/s";
        let (value, unit) = split_number(text, UNITS)?;
        if unit != UNITS {
            return Err(UnitError::Unit { expected: UNITS, got: text.to_owned() });
        }
        if !(1e-3..=1e9).contains(&value) {
            return Err(UnitError::Range(text.to_owned()));
        }
        Ok(Self(value))
    }
}

string_serde!(TokenRate);

/// A rate in requests per second, written `2.5req/s`.
///
/// ```
/// use foldhaven_core::units::RequestRate;
/// let rate: RequestRate = "2.5req/s".parse().unwrap();
/// assert_eq!(rate.to_string(), "2.5req/s");
/// ```
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct RequestRate(f64);

impl RequestRate {
    /// Maximum rate, in requests per second.
    const MAX_PER_S: f64 = 1e9;

    /// Creates a rate from requests per second.
    ///
    /// # Errors
    ///
    /// Returns an error if the number is negative, not a number, or too large.
    pub fn from_per_s(per_s: f64) -> Result<Self, UnitError> {
        match (0.0..=Self::MAX_PER_S).contains(&per_s) {
            true => Ok(Self(per_s)),
            false => Err(UnitError::Range(per_s.to_string())),
        }
    }

    /// Returns the requests per second.
    pub fn per_s(self) -> f64 {
        self.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}req/s", self.0)
    }
}

impl FromStr for RequestRate {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        const UNITS: &str = "req/s";
        let (value, unit) = split_number(text, UNITS)?;
        if unit != UNITS {
            return Err(UnitError::Unit { expected: UNITS, got: text.to_owned() });
        }
        Self::from_per_s(value)
    }
}

string_serde!(RequestRate);

/// A share between 0 and 1, written `99.5%`.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ShareRatio(pub f64);

impl fmt::Display for ShareRatio {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}%", (self.0 * 1e8).round() / 1e6)
    }
}

impl FromStr for ShareRatio {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        const UNITS: &str = "%";
        let (value, unit) = split_number(text, UNITS)?;
        if unit != UNITS {
            return Err(UnitError::Unit { expected: UNITS, got: text.to_owned() });
        }
        if value > 100.0 {
            return Err(UnitError::Range(text.to_owned()));
        }
        Ok(Self(value / 100.0))
    }
}

string_serde!(ShareRatio);

/// An amount of processor time, in thousandths of a core, written in cores: `0.12`.
///
/// ```
/// use foldhaven_core::units::CoreShare;
/// let share: CoreShare = "0.12".parse().unwrap();
/// assert_eq!(share.to_string(), "0.120");
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct CoreShare(u32);

impl CoreShare {
    /// One full core.
    pub const ONE: Self = Self(1_000);
    /// Maximum amount, in cores.
    const MAX_CORES: f64 = 1_000_000.0;

    /// Creates an amount from a number of cores, limited to the valid range and rounded to
    /// thousandths.
    pub fn from_cores(cores: f64) -> Self {
        Self((cores.clamp(0.0, Self::MAX_CORES) * 1_000.0).round() as u32)
    }

    /// Returns the amount as a number of cores.
    pub fn as_cores(self) -> f64 {
        f64::from(self.0) / 1_000.0
    }

    /// Returns the sum of two amounts, saturating at the maximum that can be represented.
    pub fn saturating_add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl fmt::Display for CoreShare {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:.3}", self.as_cores())
    }
}

impl FromStr for CoreShare {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let (cores, unit) = split_number(text, "cores")?;
        if !unit.is_empty() {
            return Err(UnitError::Unit { expected: "cores", got: text.to_owned() });
        }
        Self::try_from(cores)
    }
}

impl TryFrom<f64> for CoreShare {
    type Error = UnitError;

    fn try_from(cores: f64) -> Result<Self, UnitError> {
        match (0.0..=Self::MAX_CORES).contains(&cores) {
            true => Ok(Self::from_cores(cores)),
            false => Err(UnitError::Range(cores.to_string())),
        }
    }
}

impl From<CoreShare> for f64 {
    fn from(share: CoreShare) -> f64 {
        share.as_cores()
    }
}
