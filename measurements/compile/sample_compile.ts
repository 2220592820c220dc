import { compileSnapshot } from "../../src/configuration/compile_snapshot.ts";
import { computeDigest } from "../../src/configuration/compute_digest.ts";
import { configurationPartSchema } from "../../src/configuration/configuration_part_schema.ts";
import { parseConfiguration } from "../../src/configuration/parse_configuration.ts";
import { splitConfiguration } from "../../src/configuration/split_configuration.ts";
import { createSizedDocument } from "../documents/create_sized_document.ts";
import { scaleDocumentSize } from "../documents/scale_document_size.ts";
import { expectOk } from "../expect_ok.ts";
import { measureElapsed } from "../measure_elapsed.ts";
import type { CompileSample } from "./compile_sample.ts";
import { createConfigurationSet } from "./create_configuration_set.ts";
import { findChangedParts } from "./find_changed_parts.ts";

/** Times every phase for one version of the given size. */
export function sampleCompile(
  backendServers: number,
  variant: number,
): CompileSample {
  const size = scaleDocumentSize(backendServers);
  const text = createSizedDocument(size, { number: 2, variant });
  const previousSet = createConfigurationSet(
    createSizedDocument(size, { number: 1, variant: variant + 1 }),
  );
  const previous = {
    set: previousSet,
    snapshot: expectOk(compileSnapshot(previousSet)),
  };
  const baseline = measureElapsed(() => JSON.parse(text) as unknown);
  const parse = measureElapsed(() => expectOk(parseConfiguration(text)));
  const split = measureElapsed(() => expectOk(splitConfiguration(parse.value)));
  const set = split.value;
  const compile = measureElapsed(() => expectOk(compileSnapshot(set)));
  const received = findChangedParts(previousSet, set)
    .map((part) => JSON.stringify(part));
  const changedPart = measureElapsed(() => {
    received.forEach((part) =>
      computeDigest(configurationPartSchema.parse(JSON.parse(part)))
    );
    return expectOk(compileSnapshot(set, previous));
  });
  return {
    backendServers,
    baseline: baseline.milliseconds,
    parse: parse.milliseconds,
    split: split.milliseconds,
    compile: compile.milliseconds,
    changedPart: changedPart.milliseconds,
  };
}
