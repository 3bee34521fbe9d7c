//! The foldhaven daemon.

use std::process::ExitCode;

fn main() -> ExitCode {
    foldhavend::cmd::main()
}
