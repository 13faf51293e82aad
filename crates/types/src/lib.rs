//! Ids, sizes, rates, times and the closed list of error kinds.
