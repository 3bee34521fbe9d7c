//! Command-line entry point of the foldhaven testkit.

use std::process::ExitCode;

fn main() -> ExitCode {
    foldhaven_testkit::cmd::main()
}
