//! The command-line tool of foldhaven.

fn main() {}
