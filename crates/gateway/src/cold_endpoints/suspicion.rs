//! A restart of an endpoint that is suspected, and the evidence that its cold period is over.

use bilberryford_types::TimeMs;
use serde::{Deserialize, Serialize};

use crate::peer_loads::EndpointTag;

/// How much older than seen an entry may be, in milliseconds: entries are up to 3 s late, and batched.
const ENTRY_DELAY_MS: TimeMs = TimeMs(4_000);
/// The time after the last evidence from which a contact is reported, in milliseconds, so that those who learned of the
/// evidence later still accept it.
const REPORTED_CONTACT_MS: TimeMs = TimeMs(500);
/// How much later than reported evidence or a contact may seem, in milliseconds: the longest usual delay of a report.
const REPORT_DELAY_MS: TimeMs = TimeMs(250);

/// What an instance reports of a suspected restart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspicionReport {
    /// The incarnation that was listed at the time of the evidence.
    pub incarnation: EndpointTag,
    /// The age of the evidence.
    pub evidence_age_ms: TimeMs,
    /// True if the sender saw the evidence itself.
    pub is_own: bool,
    /// The time since the first contact after it.
    pub contact_age_ms: Option<TimeMs>,
    /// True if the endpoint responded to a request that was sent a cold period after that contact.
    pub is_over: bool,
}

impl SuspicionReport {
    /// True if it starts a suspicion at an instance that has none. What others passed on counts for one that has just
    /// started only: between instances, it would keep a suspicion alive.
    pub(super) fn is_news(&self, is_newcomer: bool) -> bool {
        !self.is_over && (self.is_own || is_newcomer)
    }
}

/// A suspected restart, until its endpoint's limit is gone.
#[derive(Debug, Clone, Copy)]
pub(super) struct Suspicion {
    incarnation: EndpointTag,
    /// The time of the last evidence.
    since_ms: TimeMs,
    /// The time of this instance's own last evidence.
    own_ms: Option<TimeMs>,
    /// The time of the first response since.
    contact_ms: Option<TimeMs>,
    /// The same, but late enough after the evidence to be reported.
    reported_contact_ms: Option<TimeMs>,
    /// True once the endpoint is certainly no longer cold.
    pub(super) is_over: bool,
}

impl Suspicion {
    fn new(incarnation: EndpointTag, since_ms: TimeMs, own_ms: Option<TimeMs>) -> Self {
        Self {
            incarnation,
            since_ms,
            own_ms,
            contact_ms: None,
            reported_contact_ms: None,
            is_over: false,
        }
    }

    pub(super) fn own(incarnation: EndpointTag, now_ms: TimeMs) -> Self {
        Self::new(incarnation, now_ms, Some(now_ms))
    }

    pub(super) fn reported(report: &SuspicionReport, now_ms: TimeMs) -> Self {
        let mut new = Self::new(report.incarnation, now_ms.since(report.evidence_age_ms), None);
        new.apply_contact(report, now_ms);
        new
    }

    /// Records further evidence of this instance. Returns true if it ends a contact that others rely on.
    pub(super) fn renew(&mut self, incarnation: EndpointTag, now_ms: TimeMs) -> bool {
        let had_contact = self.contact_ms.is_some();
        *self = Self::own(incarnation, now_ms);
        had_contact
    }

    /// Records a response, and returns true if it ends the suspicion.
    pub(super) fn record_response(
        &mut self,
        sent_ms: TimeMs,
        lasts_ms: TimeMs,
        now_ms: TimeMs,
    ) -> bool {
        if self.is_over || sent_ms < self.since_ms {
            return false;
        }
        let contact_ms = *self.contact_ms.get_or_insert(now_ms);
        if now_ms >= self.since_ms.after(REPORTED_CONTACT_MS) {
            self.reported_contact_ms.get_or_insert(now_ms);
        }
        self.is_over = sent_ms >= contact_ms.after(lasts_ms);
        self.is_over
    }

    /// Applies an entry: one of another incarnation, or one that was certainly written after the evidence, states itself
    /// whether the endpoint is cold.
    pub(super) fn apply_entry(&mut self, incarnation: EndpointTag, now_ms: TimeMs) {
        let is_later = now_ms >= self.since_ms.after(ENTRY_DELAY_MS);
        if self.incarnation != incarnation || is_later {
            self.is_over = true;
            self.contact_ms.get_or_insert(now_ms);
        }
    }

    /// Applies a peer's report on the same endpoint. Only evidence that the peer saw itself counts, so that a report that
    /// is passed on renews nothing.
    pub(super) fn apply_report(&mut self, report: &SuspicionReport, now_ms: TimeMs) {
        let evidence_ms = now_ms.since(report.evidence_age_ms);
        let is_later_than_contact = self
            .contact_ms
            .is_none_or(|contact_ms| evidence_ms > contact_ms.after(REPORT_DELAY_MS));
        if self.is_over {
            if report.is_news(false) && is_later_than_contact {
                *self = Self::reported(report, now_ms);
            }
            return;
        }
        if report.is_own && !report.is_over && evidence_ms > self.since_ms {
            self.since_ms = evidence_ms;
            self.incarnation = report.incarnation;
            if is_later_than_contact {
                (self.contact_ms, self.reported_contact_ms) = (None, None);
            }
        }
        self.apply_contact(report, now_ms);
    }

    fn apply_contact(&mut self, report: &SuspicionReport, now_ms: TimeMs) {
        let Some(age_ms) = report.contact_age_ms else { return };
        let contact_ms = now_ms.since(age_ms);
        if contact_ms >= self.since_ms.after(REPORT_DELAY_MS) {
            self.contact_ms.get_or_insert(contact_ms);
            self.is_over |= report.is_over;
        }
    }

    /// The report for other instances; none once an entry or another instance ended the suspicion.
    pub(super) fn report(&self, now_ms: TimeMs) -> Option<SuspicionReport> {
        let contact_age_ms = self.reported_contact_ms.map(|contact_ms| now_ms.since(contact_ms));
        let is_reported = !self.is_over || contact_age_ms.is_some();
        is_reported.then_some(SuspicionReport {
            incarnation: self.incarnation,
            evidence_age_ms: now_ms.since(self.own_ms.unwrap_or(self.since_ms)),
            is_own: self.own_ms.is_some(),
            contact_age_ms,
            is_over: self.is_over,
        })
    }
}
