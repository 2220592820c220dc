import test, { type ExecutionContext } from "ava";
import { once } from "node:events";
import { createServer, request as sendRequest } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { RefusalReason } from "../calls/refusal_reason.ts";
import type { Organisation } from "../organisations/organisation.ts";
import type { CallRoute } from "../routing/call_route.ts";
import { encodeFeedLine } from "../source/encode_feed_line.ts";
import { SourceValueKind } from "../source/source_value_kind.ts";
import { waitUntil } from "../testing/calls/wait_until.ts";
import { createFleetRules } from "../testing/mesh/create_fleet_rules.ts";
import { createLoneNode } from "../testing/mesh/create_lone_node.ts";
import { createSampleLine } from "../testing/mesh/create_sample_line.ts";
import { createSampleOrganisation } from "../testing/mesh/create_sample_organisation.ts";
import { createSampleSettings } from "../testing/mesh/create_sample_settings.ts";
import type { MeshCall } from "../testing/mesh/mesh_call.ts";
import type { MeshFleet } from "../testing/mesh/mesh_fleet.ts";
import { MeshHeader } from "../testing/mesh/mesh_header.ts";
import { withMeshFleet } from "../testing/mesh/with_mesh_fleet.ts";
import { CallEventKind } from "./call_event_kind.ts";
import { createNeighbourFeeds } from "./create_neighbour_feeds.ts";
import { OfferHeader } from "./offer_header.ts";

// Fleets share the hosts of the loopback interface, so the tests run one at a
// time.
const serialTest = test.serial;

const service = "vitrine";
const bakeryKey = "bakery-key-7f3a";
const schoolKey = "school-key-91bc";
const unknownKey = "unknown-key-55d0";
const bakery = createSampleOrganisation("bakery", { keys: [bakeryKey] });
const school = createSampleOrganisation("school", { keys: [schoolKey] });

/** Longer than the bound on withdrawn keys. */
const samples = 40;
const sampleMilliseconds = 200;

const withKey = (key: string): MeshCall => ({
  headers: { [MeshHeader.Key]: key },
});

/** Publishes a version with organisations and waits until every node has it. */
async function publish(
  t: ExecutionContext,
  fleet: MeshFleet,
  options: {
    readonly version: number;
    readonly organisations: readonly Organisation[];
    readonly route?: Partial<CallRoute>;
  },
): Promise<void> {
  const { version, organisations } = options;
  const rules = createFleetRules(service, options.route ?? {});
  const [cakes] = rules.routes;
  const menu = {
    ...cakes!,
    name: "menu",
    pathPrefix: "/menu/",
    isPublic: true,
  };
  fleet.source.put("rules", {
    kind: SourceValueKind.Rules,
    rules: {
      ...rules,
      version,
      routes: [cakes!, menu],
      organisations: new Map(organisations.map((each) => [each.name, each])),
    },
  });
  const inForce = () =>
    fleet.reports.filter((line) =>
      line.includes('"rules-in-force"') &&
      line.includes(`"subject":"${version}"`)
    ).length;
  t.true(await waitUntil(() => inForce() >= fleet.daemons.length));
}

/** Makes only one backend server take calls. */
function keepOnly(fleet: MeshFleet, index: number): void {
  fleet.backends.forEach((backend, each) => {
    if (each === index) return;
    backend.script = (_request, response) => {
      response.writeHead(503, { [MeshHeader.NotRun]: "1" }).end();
    };
  });
}

serialTest(
  "a call needs the key of an organisation, except on a public route",
  (t) =>
    withMeshFleet({ vms: 1 }, async (fleet) => {
      // Without organisations in the rules, calls are served as before.
      t.is((await fleet.call(0)).status, 200);
      await publish(t, fleet, { version: 2, organisations: [bakery, school] });
      const [backend] = fleet.backends;
      const runs = backend!.runs.length;
      const missing = await fleet.call(0);
      t.is(missing.status, 401);
      t.is(missing.headers["www-authenticate"], "Bearer");
      t.regex(missing.body, /"outcome":"not-run"/);
      t.is((await fleet.call(0, withKey(unknownKey))).status, 401);
      t.is(backend!.runs.length, runs);
      t.is((await fleet.call(0, withKey(bakeryKey))).status, 200);
      t.is(backend!.lastHeaders[MeshHeader.Organisation], "bakery");
      t.is((await fleet.call(0, withKey(schoolKey))).status, 200);
      t.is(backend!.lastHeaders[MeshHeader.Organisation], "school");
      const open = await fleet.call(0, { path: "/menu/1" });
      t.is(open.status, 200);
      t.is(backend!.lastHeaders[MeshHeader.Organisation], undefined);
      t.deepEqual(
        fleet.events.filter(({ kind }) => kind === CallEventKind.Refused)
          .map(({ reason }) => reason),
        [RefusalReason.ApiKeyMissing, RefusalReason.ApiKeyUnknown],
      );
    }),
);

serialTest(
  "a key that a later version withdraws is refused, and one that it adds is accepted",
  (t) =>
    withMeshFleet({ vms: 2 }, async (fleet) => {
      await publish(t, fleet, { version: 2, organisations: [bakery, school] });
      await publish(t, fleet, {
        version: 3,
        organisations: [
          createSampleOrganisation("bakery", { keys: ["bakery-key-next"] }),
          school,
        ],
      });
      const statuses = await Promise.all(
        [bakeryKey, "bakery-key-next", schoolKey].map(async (key) =>
          (await fleet.call(1, withKey(key))).status
        ),
      );
      t.deepEqual(statuses, [401, 200, 200]);
    }),
);

serialTest(
  "the backend server gets the organisation's name, also through another node, whatever the caller sends",
  (t) =>
    withMeshFleet({ vms: 2 }, async (fleet) => {
      await publish(t, fleet, { version: 2, organisations: [bakery, school] });
      keepOnly(fleet, 1);
      const smuggled = {
        [MeshHeader.Organisation.toUpperCase()]: "school",
        [OfferHeader.Offer]: JSON.stringify({ organisation: "school" }),
      };
      const backend = fleet.backends[1]!;
      for (const index of [0, 1]) {
        const keyed = await fleet.call(index, {
          headers: { ...smuggled, [MeshHeader.Key]: bakeryKey },
        });
        t.is(keyed.status, 200, `VM ${index}`);
        t.is(backend.lastHeaders[MeshHeader.Organisation], "bakery");
        t.is(backend.lastHeaders[MeshHeader.Key], undefined);
        t.is(backend.lastHeaders[OfferHeader.Offer], undefined);
        const open = await fleet.call(index, {
          path: "/menu/1",
          headers: { ...smuggled, [MeshHeader.Key.toUpperCase()]: unknownKey },
        });
        t.is(open.status, 200, `VM ${index}`);
        t.is(backend.lastHeaders[MeshHeader.Organisation], undefined);
        t.is(backend.lastHeaders[MeshHeader.Key], undefined);
      }
    }),
);

serialTest(
  "without organisations in the rules, the caller's headers are forwarded as they are",
  (t) =>
    withMeshFleet({ vms: 1 }, async (fleet) => {
      const headers = {
        [MeshHeader.Key]: "of-the-service",
        [MeshHeader.Organisation]: "of-the-caller",
      };
      t.is((await fleet.call(0, { headers })).status, 200);
      t.like(fleet.backends[0]!.lastHeaders, headers);
    }),
);

serialTest(
  "a request is refused before its body arrives",
  (t) =>
    withMeshFleet({ vms: 1 }, async (fleet) => {
      await publish(t, fleet, { version: 2, organisations: [bakery] });
      const { host, port } = fleet.settings[0]!.listeners.callers;
      const status = await new Promise((resolve, reject) => {
        const outgoing = sendRequest({
          host,
          port,
          method: "POST",
          path: "/cakes/1",
          headers: {
            host: "shop.example",
            "content-length": "10",
            [MeshHeader.Call]: "early",
          },
        }, (response) => {
          resolve(response.statusCode);
          outgoing.destroy();
        });
        outgoing.on("error", reject);
        outgoing.flushHeaders();
      });
      t.is(status, 401);
    }),
);

serialTest(
  "the priority of the organisation replaces that of the route",
  (t) =>
    withMeshFleet({ vms: 1, slots: 1 }, async (fleet) => {
      const urgent = createSampleOrganisation("urgent", {
        keys: ["urgent-key"],
        priority: 0,
      });
      await publish(t, fleet, { version: 2, organisations: [bakery, urgent] });
      const backend = fleet.backends[0]!;
      const { script } = backend;
      backend.script = (request, response) =>
        setTimeout(() => script(request, response), 100);
      const order: string[] = [];
      const call = async (name: string, key: string) => {
        const { status } = await fleet.call(0, withKey(key));
        if (status === 200) order.push(name);
      };
      const first = call("first", bakeryKey);
      t.true(await waitUntil(() => backend.runs.length === 1));
      // Neither the first nor the last of the calls that wait is the urgent one.
      const earlier = call("plain", bakeryKey);
      const queued = () =>
        fleet.events.filter(({ kind }) => kind === CallEventKind.Queued).length;
      t.true(await waitUntil(() => queued() === 1));
      const second = call("urgent", "urgent-key");
      t.true(await waitUntil(() => queued() === 2));
      await Promise.all([first, earlier, second, call("plain", bakeryKey)]);
      t.deepEqual(order.slice(0, 3), ["first", "urgent", "plain"]);
    }),
);

serialTest(
  "no key is in anything that nodes report, pass on or answer",
  (t) =>
    withMeshFleet({ vms: 2, withdrawalMilliseconds: 5_000 }, async (fleet) => {
      await publish(t, fleet, { version: 2, organisations: [bakery, school] });
      const seen: string[] = [];
      fleet.backends.forEach((backend) => {
        const { script } = backend;
        backend.script = (request, response) => {
          seen.push(...request.rawHeaders);
          script(request, response);
        };
      });
      const keys = [bakeryKey, schoolKey, unknownKey];
      const answers = await Promise.all(
        keys.flatMap((key) =>
          [0, 1].flatMap((index) => [
            fleet.call(index, withKey(key)),
            fleet.call(index, { path: "/menu/1", ...withKey(key) }),
          ])
        ),
      );
      t.true(fleet.reports.some((line) => line.includes("api-key-unknown")));
      t.true(fleet.reports.some((line) => line.includes('"bakery"')));
      const texts = [
        ...seen,
        ...fleet.reports,
        ...answers.map(({ body, headers }) => body + JSON.stringify(headers)),
      ].join("\n");
      keys.forEach((key) => t.false(texts.includes(key)));
    }),
);

serialTest(
  "a node that is cut off from the source refuses keys within the bound, and accepts them again",
  (t) =>
    withMeshFleet({ vms: 1, withdrawalMilliseconds: 3_000 }, async (fleet) => {
      await publish(t, fleet, { version: 2, organisations: [bakery] });
      t.is((await fleet.call(0, withKey(bakeryKey))).status, 200);
      fleet.source.setDown(true);
      const downAt = performance.now();
      let reason: string | undefined;
      const getReason = () => {
        void fleet.call(0, withKey(bakeryKey)).then(({ body }) => {
          reason = /"reason":"([^"]+)"/.exec(body)?.[1];
        });
        return reason === RefusalReason.ApiKeysUnconfirmed;
      };
      t.true(await waitUntil(getReason));
      t.true(performance.now() - downAt < 3_000);
      t.is((await fleet.call(0, { path: "/menu/1" })).status, 200);
      fleet.source.setDown(false);
      t.true(
        await waitUntil(() => {
          void getReason();
          return reason === undefined;
        }),
      );
    }),
);

serialTest(
  "nodes that follow a neighbour accept keys for longer than the bound while all is calm",
  (t) =>
    withMeshFleet({ vms: 4, withdrawalMilliseconds: 5_000 }, async (fleet) => {
      await publish(t, fleet, { version: 2, organisations: [bakery] });
      const statuses = new Set<number>();
      // Sequential, since the calls are spread over a time.
      for (let sample = 0; sample < samples; sample += 1) {
        await delay(sampleMilliseconds);
        const results = await Promise.all(
          fleet.daemons.map((_, index) =>
            fleet.call(index, withKey(bakeryKey))
          ),
        );
        results.forEach(({ status }) => statuses.add(status));
      }
      t.deepEqual([...statuses], [200]);
      // The bound holds by the feed: the follower reads the source once.
      t.true(fleet.reports.some((line) => line.includes('"following"')));
      t.false(fleet.reports.some((line) => line.includes('"renewed"')));
    }),
);

[
  { name: "a change that is too large to be passed on", gap: true, age: 0 },
  { name: "a neighbour that does not state it", gap: false, age: undefined },
].forEach(({ name, gap, age }) =>
  serialTest(
    `a line of a feed does not confirm the rules after ${name}`,
    async (t) => {
      const neighbour = createServer((_request, response) => {
        response.writeHead(200);
        const line = createSampleLine({
          gap,
          revision: 5,
          rulesAgeMilliseconds: age,
        });
        response.write(encodeFeedLine(line));
      }).listen(0, "127.0.0.9");
      await once(neighbour, "listening");
      t.teardown(() => {
        neighbour.closeAllConnections();
        neighbour.close();
      });
      const nodes = neighbour.address() as AddressInfo;
      const sample = createSampleSettings();
      const node = createLoneNode({
        ...sample,
        sourceBounds: { ...sample.sourceBounds, withdrawalMilliseconds: 5_000 },
        listeners: {
          ...sample.listeners,
          nodes: { host: "127.0.0.9", port: nodes.port },
        },
      });
      const feeds = createNeighbourFeeds(node);
      await feeds.follow("127.0.0.9", {
        after: { era: 0, revision: 1 },
        onReading: () => undefined,
      });
      feeds.close();
      t.is(node.rulesConfirmation.confirmedAt, undefined);
    },
  )
);
