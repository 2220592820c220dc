import type { ConfigurationSet } from "../../src/configuration/configuration_set.ts";
import { parseConfiguration } from "../../src/configuration/parse_configuration.ts";
import { splitConfiguration } from "../../src/configuration/split_configuration.ts";
import { expectOk } from "../expect_ok.ts";

/** Parses and splits the text of a configuration; throws if it is not valid. */
export function createConfigurationSet(text: string): ConfigurationSet {
  return expectOk(splitConfiguration(expectOk(parseConfiguration(text))));
}
