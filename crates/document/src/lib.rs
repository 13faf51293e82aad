//! The environment document: parse, validate, diagnose.
