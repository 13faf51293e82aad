//! Small stand-ins of outside systems, with load and measurement commands; not shipped.
