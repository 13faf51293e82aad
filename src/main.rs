//! Command line of bilberryford.

fn main() {}
