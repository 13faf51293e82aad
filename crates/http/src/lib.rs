//! What all HTTP clients of the project share: reading responses whose senders may be faulty.

mod body;
mod status;
mod text;

pub use body::{BodyError, read_body};
pub use status::{is_final_status, successful};
pub use text::{has_unreadable, readable_text};
