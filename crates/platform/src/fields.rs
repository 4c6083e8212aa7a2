//! Reads single fields of a decoded JSON object; a fault names the field.
use crate::fault::Unfit;
use applepond::interface::Micros;
use serde_json::Value;

pub type Read<T> = Result<T, Unfit>;

pub fn fault<T>(name: &str, want: &str) -> Read<T> {
    Err(Unfit::field(name, want))
}

/// The field, or none where it is absent or null.
pub fn maybe<'a>(object: &'a Value, name: &str) -> Option<&'a Value> {
    object.get(name).filter(|v| !v.is_null())
}

pub fn object<'a>(from: &'a Value, name: &str) -> Read<&'a Value> {
    maybe(from, name).filter(|v| v.is_object()).map_or_else(|| fault(name, "an object is wanted"), Ok)
}

pub fn array<'a>(from: &'a Value, name: &str) -> Read<&'a Vec<Value>> {
    maybe(from, name).and_then(Value::as_array).map_or_else(|| fault(name, "an array is wanted"), Ok)
}

pub fn text<'a>(from: &'a Value, name: &str) -> Read<&'a str> {
    maybe(from, name).and_then(Value::as_str).map_or_else(|| fault(name, "a text is wanted"), Ok)
}

pub fn number(from: &Value, name: &str) -> Read<f64> {
    maybe(from, name).and_then(Value::as_f64).map_or_else(|| fault(name, "a number is wanted"), Ok)
}

pub fn number_or(from: &Value, name: &str, absent: f64) -> Read<f64> {
    maybe(from, name).map_or(Ok(absent), |_| number(from, name))
}

pub fn whole(from: &Value, name: &str) -> Read<u64> {
    maybe(from, name).and_then(Value::as_u64).map_or_else(|| fault(name, "a whole number is wanted"), Ok)
}

pub fn mark(from: &Value, name: &str) -> Read<bool> {
    match maybe(from, name) {
        None => Ok(false),
        Some(v) => v.as_bool().map_or_else(|| fault(name, "true or false is wanted"), Ok),
    }
}

fn micros_of(ms: f64) -> Micros {
    (ms * 1000.0).round().max(0.0) as Micros
}

pub fn time(from: &Value, name: &str) -> Read<Micros> {
    number(from, name).map(micros_of)
}

pub fn time_or_none(from: &Value, name: &str) -> Read<Micros> {
    number_or(from, name, 0.0).map(micros_of)
}

/// Position of a named row among the names of the settings.
pub fn position(names: &[String], from: &Value, name: &str) -> Read<usize> {
    let wanted = text(from, name)?;
    names.iter().position(|n| n == wanted).map_or_else(|| fault(name, "a name of the settings is wanted"), Ok)
}
