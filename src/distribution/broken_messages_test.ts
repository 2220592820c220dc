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

test("a broken request is rejected with what is wrong, and changes nothing", async (t) => {
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

test("a request names the field that does not fit", async (t) => {
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

test("a peer that answers rubbish does not hold up a new version", async (t) => {
  const fleet = await startDistributionFleet({ ...shape, seed: 33 });
  const rubbish = fleet.getNode("vm-2")?.address.port;
  fleet.network.setScript(({ from, isAnswer }) =>
    isAnswer && from.endsWith(`:${rubbish}`)
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
