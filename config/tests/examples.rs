//! The example files of the repository are valid.

use googletest::prelude::*;
use gradepaddle_config::{Configuration, Settings};

#[gtest]
fn the_example_settings_are_valid() {
    expect_that!(Settings::parse(include_str!("../../examples/system/node.toml")), ok(anything()));
}

#[gtest]
fn the_example_configuration_is_valid() {
    let body = include_bytes!("../../examples/system/configuration.json");
    let configuration = Configuration::parse(body).expect("the example is valid");
    let route = |path| configuration.route("shop.example", path).map(|route| &*route.name);
    expect_that!(route("/stock/beams"), some(eq("stock")));
    expect_that!(route("/stock/order/5"), some(eq("order")));
    expect_that!(configuration.check_successor(11), ok(eq(&())));
}
