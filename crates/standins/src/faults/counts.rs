//! Compares the stand-ins' own records with the responses that callers received.

use std::{collections::HashMap, sync::atomic::Ordering};

use super::{Report, callers::CallerStats};
use crate::{deployment::Deployment, engine::Stats as EngineStats};

/// Collects the counts of a report.
pub(super) async fn collect(deployment: &Deployment, stats: &CallerStats) -> Report {
    let mut report = Report {
        requests: stats.requests.load(Ordering::Relaxed),
        whole: stats.complete.load(Ordering::Relaxed),
        refused: stats.refused.load(Ordering::Relaxed),
        cut: stats.cut.load(Ordering::Relaxed),
        ended: stats.ended.load(Ordering::Relaxed),
        crossed: stats.mismatched.load(Ordering::Relaxed),
        cut_by_shutdown: stats.cut_by_shutdown.load(Ordering::Relaxed),
        stale_version: stats.stale_version.load(Ordering::Relaxed),
        cross_team: stats.leaked_runs.load(Ordering::Relaxed),
        ..Report::default()
    };
    count_engines(&mut report, deployment, stats);
    count_orders(&mut report, deployment, stats);
    report.loads_max = deployment.spec.engine.control.weight_store.stats().max_running;
    let mut refusals: Vec<_> = stats.refusals.lock().clone().into_iter().collect();
    refusals.sort();
    eprintln!("{}: refusals by kind {refusals:?}", deployment.spec.name);
    report
}

fn count_engines(report: &mut Report, deployment: &Deployment, stats: &CallerStats) {
    let engines = || deployment.engines.iter().map(|member| &member.server);
    let refused_prompts = stats.not_run_prompts.lock();
    let falsely_refused = refused_prompts
        .iter()
        .filter(|prompt| engines().any(|engine| engine.ledger.started(prompt) > 0));
    report.false_not_run += falsely_refused.count() as u64;
    report.cross_team += engines().map(|engine| engine.ledger.cross_team()).sum::<u64>();
    let leaving =
        engines().map(|engine| engine.ledger.last_accept_after_leaving()).max().unwrap_or_default();
    report.leaving_max_s = leaving.as_secs_f64();
    let mut crashes = HashMap::<String, u32>::new();
    let engine_stats: Vec<EngineStats> = engines().map(|engine| engine.stats()).collect();
    for (prompt, count) in engine_stats.into_iter().flat_map(|stats| stats.crashes_by_prompt) {
        *crashes.entry(prompt).or_default() += count;
    }
    report.poison_crashes_max = crashes.into_values().max().unwrap_or(0);
}

fn count_orders(report: &mut Report, deployment: &Deployment, stats: &CallerStats) {
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
    let results = stats.orders.lock();
    report.orders = results.len() as u64;
    for (order, result) in results.iter() {
        let count = runs.get(order).copied().unwrap_or(0);
        if result.always_not_run && count > 0 {
            report.false_not_run += 1;
        }
        // A receipt for an order that never ran counts as a mismatched response.
        if result.is_complete && count == 0 {
            report.crossed += 1;
        }
    }
}
