//! Reads the stand-ins' books and compares them with what callers were told.

use std::{collections::HashMap, sync::atomic::Ordering};

use super::{Report, callers::Tally};
use crate::{deployment::Deployment, engine::Stats as EngineStats};

/// Fills the counts of a report.
pub(super) async fn read(deployment: &Deployment, tally: &Tally) -> Report {
    let mut report = Report {
        requests: tally.requests.load(Ordering::Relaxed),
        whole: tally.whole.load(Ordering::Relaxed),
        refused: tally.refused.load(Ordering::Relaxed),
        cut: tally.cut.load(Ordering::Relaxed),
        ended: tally.ended.load(Ordering::Relaxed),
        crossed: tally.crossed.load(Ordering::Relaxed),
        cut_by_shutdown: tally.cut_by_shutdown.load(Ordering::Relaxed),
        stale_version: tally.stale_version.load(Ordering::Relaxed),
        cross_team: tally.foreign_runs.load(Ordering::Relaxed),
        ..Report::default()
    };
    engines(&mut report, deployment, tally);
    orders(&mut report, deployment, tally);
    report.loads_max = deployment.spec.engine.control.weight_store.stats().max_running;
    let mut refusals: Vec<_> = tally.refusals.lock().clone().into_iter().collect();
    refusals.sort();
    eprintln!("{}: refusals by kind {refusals:?}", deployment.spec.name);
    report
}

fn engines(report: &mut Report, deployment: &Deployment, tally: &Tally) {
    let engines = || deployment.engines.iter().map(|member| &member.server);
    let not_run = tally.not_run_prompts.lock();
    let ran =
        not_run.iter().filter(|prompt| engines().any(|engine| engine.ledger.started(prompt) > 0));
    report.false_not_run += ran.count() as u64;
    report.cross_team += engines().map(|engine| engine.ledger.cross_team()).sum::<u64>();
    let leaving =
        engines().map(|engine| engine.ledger.last_accept_after_leaving()).max().unwrap_or_default();
    report.leaving_max_s = leaving.as_secs_f64();
    let mut crashes = HashMap::<String, u32>::new();
    let books: Vec<EngineStats> = engines().map(|engine| engine.stats()).collect();
    for (prompt, count) in books.into_iter().flat_map(|book| book.crashes_by_prompt) {
        *crashes.entry(prompt).or_default() += count;
    }
    report.poison_crashes_max = crashes.into_values().max().unwrap_or(0);
}

fn orders(report: &mut Report, deployment: &Deployment, tally: &Tally) {
    let mut runs = HashMap::<String, u32>::new();
    for member in &deployment.services {
        for (order, count) in member.server.stats().orders {
            *runs.entry(order).or_default() += count;
        }
    }
    report.doubled = runs.values().filter(|count| **count > 1).count() as u64;
    let is_foreign =
        |order: &&String| order.split_once('/').is_some_and(|(team, key)| !key.starts_with(team));
    report.cross_team += runs.keys().filter(is_foreign).count() as u64;
    let fates = tally.orders.lock();
    report.orders = fates.len() as u64;
    for (order, fate) in fates.iter() {
        let count = runs.get(order).copied().unwrap_or(0);
        if fate.only_not_run && count > 0 {
            report.false_not_run += 1;
        }
        // A receipt for something that never ran is an answer to something else.
        if fate.whole && count == 0 {
            report.crossed += 1;
        }
    }
}
