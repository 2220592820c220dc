import test from "ava";
import fc from "fast-check";
import { DiagnosticCode } from "../diagnostics/diagnostic_code.ts";
import { DiagnosticError } from "../diagnostics/diagnostic_error.ts";
import { publishSample } from "../testing/publish_sample.ts";
import { startDistributionFleet } from "../testing/start_distribution_fleet.ts";
import { DistributionMethod } from "./distribution_method.ts";

const shape = { vms: 6, zones: 3 };
const runs = 300;
const methods = Object.values(DistributionMethod).filter((method) =>
  method !== DistributionMethod.ReadManifest
);

test("an invalid request is rejected with a diagnostic, and changes nothing", async (t) => {
  const fleet = await startDistributionFleet({ ...shape, seed: 31 });
  const runtime = fleet.getNode("vm-1")?.runtime;
  const status = runtime?.getStatus();
  const peers = runtime?.getPeers();
  await fc.assert(
    fc.asyncProperty(
      fc.constantFrom(...methods, "unknown"),
      fc.jsonValue(),
      async (method, parameters) => {
        const outcome = await runtime?.handleControlMethod(method, parameters)
          .catch((error: unknown) => error);
        return outcome instanceof DiagnosticError &&
          outcome.diagnostic.code === DiagnosticCode.ControlMessageInvalid;
      },
    ),
    { seed: 4, numRuns: runs },
  );
  t.deepEqual(runtime?.getStatus(), status);
  t.is(runtime?.getPeers(), peers);
});

test("the rejection of a request names the invalid field", async (t) => {
  const fleet = await startDistributionFleet({ ...shape, seed: 32 });
  const error = await t.throwsAsync(
    async () =>
      await fleet.getNode("vm-1")?.runtime.handleControlMethod("readParts", {
        digests: ["abc"],
      }),
    { instanceOf: DiagnosticError },
  );
  t.regex(error?.message ?? "", /"digests\[0\]" is "abc"/);
});

test("a peer that sends invalid responses does not delay a new version", async (t) => {
  const fleet = await startDistributionFleet({ ...shape, seed: 33 });
  const invalidPort = fleet.getNode("vm-2")?.address.port;
  fleet.network.setScript(({ from, isResponse }) =>
    isResponse && from.endsWith(`:${invalidPort}`)
      ? { content: { record: "rubbish", manifest: 7, parts: [null] } }
      : {}
  );
  publishSample(fleet, { number: 2 });
  await fleet.advanceBy(5_000);
  t.deepEqual(
    fleet.getNodes().map(({ runtime }) =>
      runtime.getSnapshot()?.version.number
    ),
    Array(shape.vms).fill(2),
  );
});
