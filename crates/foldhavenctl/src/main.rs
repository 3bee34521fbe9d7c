//! The command-line tool of foldhaven.

use std::process::ExitCode;

fn main() -> ExitCode {
    foldhavenctl::cmd::main()
}
