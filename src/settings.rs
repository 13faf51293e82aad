//! Checks of settings, with a diagnostic that names the flag, the value and the range.

use std::{fmt::Display, ops::RangeInclusive};

use miette::{Diagnostic, Result};

/// A setting that can't be used.
#[derive(Debug, thiserror::Error, Diagnostic)]
#[error("--{flag} is {value}, which is outside {range}")]
#[diagnostic(help("set --{flag} or {variable} to a value within {range}"))]
struct OutOfRange {
    flag: &'static str,
    variable: String,
    value: String,
    range: String,
}

/// Answers `value` when it is within `range`.
pub(crate) fn in_range<T>(flag: &'static str, value: T, range: &RangeInclusive<T>) -> Result<T>
where
    T: PartialOrd + Display,
{
    if range.contains(&value) {
        return Ok(value);
    }
    let variable = format!("BILBERRYFORD_{}", flag.to_uppercase().replace('-', "_"));
    let range = format!("{} to {}", range.start(), range.end());
    Err(OutOfRange { flag, variable, value: value.to_string(), range }.into())
}
