import test from "ava";
import { createSampleConfiguration } from "../testing/create_sample_configuration.ts";
import { compileSnapshot } from "./compile_snapshot.ts";
import type { ConfigurationSet } from "./configuration_set.ts";
import { joinConfiguration } from "./join_configuration.ts";
import { parseConfiguration } from "./parse_configuration.ts";
import { splitConfiguration } from "./split_configuration.ts";
import type { ParsedConfiguration } from "./parsed_configuration.ts";

const sample = createSampleConfiguration({ number: 7, zones: 3, services: 4 });

function split(
  t: { is(actual: unknown, expected: unknown): boolean },
  configuration: ParsedConfiguration,
  previous?: ConfigurationSet,
): ConfigurationSet {
  const set = splitConfiguration(configuration, previous);
  t.is(set.isOk, true);
  return set.unwrapOr({} as ConfigurationSet);
}

test("splitConfiguration() returns a version that does not depend on white space or the order of fields", (t) => {
  const { register, rules, ...rest } = sample;
  const shuffled = JSON.stringify({ rules, register, ...rest }, null, 3);
  const parsed = parseConfiguration(shuffled);
  t.deepEqual(
    parsed.map((configuration) => split(t, configuration).version)
      .unwrapOr({ number: 0, digest: "" }),
    split(t, sample).version,
  );
});

test("splitConfiguration() computes the same digests with and without a previous version", (t) => {
  const previous = split(t, sample);
  const next = createSampleConfiguration({
    number: 8,
    zones: 3,
    services: 4,
    zonesTakenOut: ["zone-1"],
  });
  t.deepEqual(split(t, next, previous), split(t, next));
});

test("joinConfiguration() returns a document that splits into the same version", (t) => {
  const set = split(t, sample);
  const document = joinConfiguration(set);
  t.is(document?.digest, set.version.digest);
  t.deepEqual(split(t, document ?? sample), set);
});

test("compileSnapshot() reuses unchanged services only", (t) => {
  const set = split(t, sample);
  const snapshot = compileSnapshot(set).unwrapOr(undefined);
  const changed = split(t, {
    ...sample,
    number: 8,
    rules: { ...sample.rules, backendServersLeaving: ["server-1"] },
  });
  const next = compileSnapshot(changed, snapshot && { set, snapshot })
    .unwrapOr(undefined);
  t.not(next?.services.get("service-1"), snapshot?.services.get("service-1"));
  t.is(next?.services.get("service-2"), snapshot?.services.get("service-2"));
});

test("compileSnapshot() refuses a version with a missing part or a part under a wrong name", (t) => {
  const set = split(t, sample);
  const [base, first, second, ...rest] = set.manifest.parts;
  const partsWithoutSecond = new Map(
    [...set.parts].filter(([digest]) => digest !== second?.digest),
  );
  t.true(compileSnapshot({ ...set, parts: partsWithoutSecond }).isErr);
  const swapped = [
    { name: base?.name ?? "", digest: base?.digest ?? "" },
    { name: first?.name ?? "", digest: second?.digest ?? "" },
    { name: second?.name ?? "", digest: first?.digest ?? "" },
    ...rest,
  ];
  t.true(
    compileSnapshot({ ...set, manifest: { ...set.manifest, parts: swapped } })
      .isErr,
  );
});

test("parseConfiguration() refuses text above the size limit before parsing it", (t) => {
  const refused = parseConfiguration("x".repeat(101), { maxBytes: 100 });
  t.is(refused.isErr && refused.error[0]?.found, "101");
});
