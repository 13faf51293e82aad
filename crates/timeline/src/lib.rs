//! Merges the events of many processes into one ordered timeline.
//!
//! Every process records events with a hybrid logical timestamp, which orders causes before effects even if wall clocks
//! differ. [`Timeline`] reads lines from any number of sources (log files in either format, responses of `/events`),
//! removes duplicate events and sorts the rest. Unreadable lines, unavailable sources and clock jumps are reported and
//! never end the merge.
//!
//! [`Filter`] selects the events of a request, an order, a team or an endpoint. [`render_text`] and [`render_html`]
//! render them; the HTML page is self-contained. `docs/OPERATIONS.md` describes how to read a timeline.

mod filter;
mod html;
mod line;
mod merge;
mod text;

pub use filter::Filter;
pub use html::render_html;
pub use merge::{ClockJump, SourceReport, Timeline};
pub use text::render_text;
