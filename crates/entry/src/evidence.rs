//! What shows that a request was not executed.

/// What shows that a request was not executed and will not be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// No byte of it was sent to a target.
    Unsent,
    /// Each target that got it stated that it did not execute it.
    Stated,
}

impl Evidence {
    /// Name in logs.
    ///
    /// ```
    /// assert_eq!(camphordale_entry::Evidence::Unsent.name(), "unsent");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Evidence::Unsent => "unsent",
            Evidence::Stated => "stated",
        }
    }
}
