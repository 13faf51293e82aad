//! The entry instance: filters for requests, controllers for state.
