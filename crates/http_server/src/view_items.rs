//! The items of a view: each resource as declared, together with the values that controllers computed
//! for it.

use serde_json::{Value, json};
use std::collections::BTreeMap;
use wire::TunedParameters;

/// Builds view items by `kind/tenant/name` from the declared pairs and from the tuned parameters; a tuned
/// function gets an item even if nothing is declared for it.
pub fn view_items<'a>(
    pairs: impl Iterator<Item = (&'a str, &'a [u8])>,
    fence: u64,
    tuned: &[TunedParameters],
) -> BTreeMap<String, Value> {
    let declared = |raw: &[u8]| json!({"declared": serde_json::from_slice::<Value>(raw).unwrap_or_default()});
    let mut items: BTreeMap<String, Value> = pairs.map(|(key, raw)| (key.to_owned(), declared(raw))).collect();
    for parameters in tuned {
        let item = items.entry(format!("weight-sheets/{}", parameters.function.as_str()));
        let item = item.or_insert_with(|| json!({"declared": null}));
        item["tuned"] = json!({
            "startup_delay_steps": parameters.startup_delay_steps,
            "target_usage": parameters.target_usage_micro as f64 / 1e6,
            "sla_hard": parameters.sla_hard_milli as f64 / 1e3,
        });
        item["why"] = parameters.reason.as_str().into();
        item["fence"] = fence.into();
    }
    items
}
