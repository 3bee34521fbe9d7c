//! The testkit of foldhaven.

use std::process::ExitCode;

fn main() -> ExitCode {
    foldhaven_testkit::cmd::main()
}
