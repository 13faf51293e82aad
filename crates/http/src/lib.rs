//! What all HTTP clients of the project share: reading bodies whose senders may be faulty.

mod body;

pub use body::{BodyError, read_body};
