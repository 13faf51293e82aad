//! The texts of errors with their causes.

use std::{error::Error, iter};

/// The error and its causes.
pub fn error_chain<'a>(
    error: &'a (dyn Error + 'static),
) -> impl Iterator<Item = &'a (dyn Error + 'static)> + use<'a> {
    iter::successors(Some(error), |&error| error.source())
}

/// The text of an error with those of its causes, which hyper leaves out of its own.
pub fn error_text(error: &(dyn Error + 'static)) -> String {
    let mut texts: Vec<_> = error_chain(error).map(ToString::to_string).collect();
    // A wrapper may have the text of what it wraps.
    texts.dedup();
    texts.join(": ")
}
