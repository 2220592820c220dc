import test from "ava";
import { CallKind } from "../routing/call_kind.ts";
import { countRuns } from "../testing/mesh/count_runs.ts";
import { MeshHeader } from "../testing/mesh/mesh_header.ts";
import { scriptAllBackends } from "../testing/mesh/script_all_backends.ts";
import { withMeshFleet } from "../testing/mesh/with_mesh_fleet.ts";

// Fleets share the hosts of the loopback interface, so the tests run one at a
// time.
const serialTest = test.serial;

const body = "cake";

// Guards against a refusal as not run of a call that may have run: only a
// rejection with the backend server's statement says that it has not.
[408, 429, 503].forEach((status) => {
  serialTest(
    `a non-idempotent call that is rejected with ${status}, without the statement that it has not run, is answered with an unknown outcome`,
    async (t) => {
      const route = { kind: CallKind.NonIdempotent };
      await withMeshFleet({ vms: 2, route }, async (fleet) => {
        scriptAllBackends(fleet, (request, response) => {
          response.writeHead(status, {
            [MeshHeader.Call]: request.headers[MeshHeader.Call]!,
            [MeshHeader.Signature]: "signed",
          }).end("no");
        });
        const answer = await fleet.call(0, { method: "POST", body });
        t.is(answer.status, 502);
        t.true(answer.body.includes('"outcome":"unknown"'), answer.body);
        t.is(countRuns(fleet), 1);
      });
    },
  );
});

test.serial(
  "an idempotent call gets such a rejection unchanged, since it may be repeated",
  async (t) => {
    const route = { attemptsMaximum: 1 };
    await withMeshFleet({ vms: 1, route }, async (fleet) => {
      scriptAllBackends(fleet, (request, response) => {
        response.writeHead(503, {
          [MeshHeader.Call]: request.headers[MeshHeader.Call]!,
          [MeshHeader.Signature]: "signed",
        }).end("no");
      });
      const answer = await fleet.call(0);
      t.is(answer.status, 503);
      t.is(answer.body, "no");
    });
  },
);
