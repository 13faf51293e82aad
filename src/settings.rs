//! Range checks of command-line settings.

use std::{fmt::Display, ops::RangeInclusive};

use miette::{Diagnostic, Result};

/// A setting with a value outside its range.
#[derive(Debug, thiserror::Error, Diagnostic)]
#[error("--{flag} is {value}, which is outside {range}")]
#[diagnostic(help("set --{flag} or {variable} to a value within {range}"))]
struct OutOfRange {
    flag: &'static str,
    variable: String,
    value: String,
    range: String,
}

/// Returns `value` if it is within `range`.
///
/// # Errors
///
/// Returns a diagnostic with the flag, its environment variable, the value and the range.
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
