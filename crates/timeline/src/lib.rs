//! One ordered time line from the events of many processes.
//!
//! Every process writes events with a hybrid logical timestamp, which orders causes before effects although wall clocks
//! differ. [`Timeline`] takes lines from any number of sources (log files in either format, live `/events` answers),
//! drops what it has seen before, and puts the rest in order. Nothing that it reads can stop it: a line that is no
//! event, a source that is down or a clock that jumps is named, counted and passed over.
//!
//! [`Filter`] narrows a time line to a request, an order, a team or an endpoint. [`render_text`] and [`render_html`] write it; the HTML
//! page is one file that needs no network. `docs/OPERATIONS.md` says how to read it.

mod filter;
mod html;
mod line;
mod merge;
mod text;

pub use filter::Filter;
pub use html::render_html;
pub use merge::{ClockJump, SourceReport, Timeline};
pub use text::render_text;
