//! The command-line tool of foldhaven for operators.
