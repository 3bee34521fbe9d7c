//! The errors of commands and their exit codes.

use std::process::ExitCode;

use foldhaven_core::description::CheckFault;

/// The exit codes of the tool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command succeeded.
    Success = 0,
    /// Something could not be reached or read.
    Failure = 1,
    /// The arguments or the description are wrong.
    BadInput = 2,
    /// The description was not in force at all VMs in time.
    NotInForce = 3,
    /// Another operator's description is in force instead.
    LostRace = 4,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        ExitCode::from(status as u8)
    }
}

/// Errors of commands.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum CtlError {
    /// {step} {peer}: {source}
    Io {
        /// What was being done.
        step: &'static str,
        /// The path of the file.
        peer: String,
        /// The I/O error.
        source: std::io::Error,
    },
    /// {step} at {peer}: {message}
    Peer {
        /// What was being done.
        step: &'static str,
        /// The address of the VM.
        peer: String,
        /// The HTTP or JSON error, or the status and body of the answer.
        message: String,
    },
    /// {0}
    Faults(FaultList),
    /// no VM can be reached; tried {0}
    Unreachable(String),
    /// {0}
    Usage(String),
    /// {0}
    LostRace(String),
    /// {0}
    NotInForce(String),
}

/// The faults of a description, displayed one per line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FaultList(pub Vec<CheckFault>);

impl std::fmt::Display for FaultList {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let lines: Vec<String> = self.0.iter().map(|fault| fault.to_string()).collect();
        formatter.write_str(&lines.join("\n"))
    }
}

impl CtlError {
    /// Returns the exit code of the error.
    pub fn status(&self) -> ExitStatus {
        match self {
            Self::Io { .. } | Self::Peer { .. } | Self::Unreachable(_) => ExitStatus::Failure,
            Self::Faults(_) | Self::Usage(_) => ExitStatus::BadInput,
            Self::NotInForce(_) => ExitStatus::NotInForce,
            Self::LostRace(_) => ExitStatus::LostRace,
        }
    }
}
