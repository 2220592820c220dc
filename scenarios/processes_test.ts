import test from "ava";
import { AuditEntryKind } from "../src/telemetry/audit_entry_kind.ts";
import type { CallerService } from "../stand_ins/caller/caller_service.ts";
import { collectObservations } from "../stand_ins/deployment/collect_observations.ts";
import { delay } from "../stand_ins/deployment/delay.ts";
import { waitUntil } from "../stand_ins/deployment/wait_until.ts";
import { getVersionsInForce } from "../stand_ins/deployment/get_versions_in_force.ts";
import { parseTrail } from "../traces/parse_trail.ts";
import { assertInForce } from "./processes/assert_in_force.ts";
import { assertSafetyProperties } from "./processes/assert_safety_properties.ts";
import { countStartedCalls } from "./processes/count_started_calls.ts";
import { withDeployment } from "./processes/with_deployment.ts";

const propagationMilliseconds = 4000;
const observationMilliseconds = 2000;
const loadMilliseconds = 2500;
const callerStartTimeoutMilliseconds = 15_000;
const processPauseMilliseconds = 4000;

test.serial(
  "[point 11: herd of nodes killed and reconnecting] [point 8: owner dead] [point 8: counted at the backend server] [point 7: counted at the backend server] [point 6: counted at the caller] half of the nodes are killed under load and restarted at the same time",
  withDeployment({}, async (deployment, assert) => {
    const caller = deployment.startCaller({
      seed: 11,
      callsPerSecond: 100,
      repeatShare: 0.9,
      repeatMilliseconds: [0, 2500],
    });
    await delay(loadMilliseconds);
    const restartedVms = deployment.vms.filter((_, index) => index % 2 === 0);
    restartedVms.forEach((vm) =>
      deployment.getNode(vm).process.kill("SIGKILL")
    );
    await Promise.all(restartedVms.map((vm) => deployment.getNode(vm).ended));
    const since = await deployment.publish({
      number: 2,
      retryBudgetPercent: 20,
    });
    restartedVms.forEach((vm) => deployment.startNode(vm));
    await assertInForce(assert, {
      deployment,
      vms: deployment.vms,
      number: 2,
      since,
    });
    await delay(loadMilliseconds);
    assertSafetyProperties(
      assert,
      await collectObservations(deployment, caller),
    );
  }),
);

test.serial(
  "[point 1: restart with the platform stale] nodes that are killed in turn never restart with an older version",
  withDeployment({}, async (deployment, assert) => {
    const since = await deployment.publish({ number: 2 });
    const { vms } = deployment;
    await assertInForce(assert, { deployment, vms, number: 2, since });
    await deployment.setPlatformFaults({ staleRevision: 1 });
    const restarted = vms.slice(0, 3);
    await restarted.reduce(async (previous, vm) => {
      await previous;
      deployment.getNode(vm).process.kill("SIGKILL");
      await deployment.getNode(vm).ended;
      deployment.startNode(vm);
      const restartedAt = Date.now();
      await assertInForce(assert, {
        deployment,
        vms,
        number: 2,
        since: restartedAt,
      });
      const applied = parseTrail(await deployment.getTrail(vm))
        .filter((entry) => entry.kind === AuditEntryKind.ConfigurationApplied)
        .map((entry) => entry.toVersion?.number);
      assert.deepEqual(applied, [2], "versions in force since the restart");
    }, Promise.resolve());
  }),
);

test.serial(
  "[point 5: node that slept through the change] [point 5: retried and repeated calls] [point 5: counted at the backend server] [point 8: process paused after dispatch] [point 7: request in a frozen process] a node process is suspended while its zone is taken out under load",
  withDeployment({}, async (deployment, assert) => {
    const caller = deployment.startCaller({ seed: 5, repeatShare: 0.6 });
    const vmsInZone = deployment.vms.filter((vm) => vm.zone === "sul-b");
    const vmsInOtherZones = deployment.vms.filter((vm) => vm.zone !== "sul-b");
    await delay(loadMilliseconds);
    const pausedNode = deployment.getNode(vmsInZone[0]!);
    pausedNode.process.kill("SIGSTOP");
    const since = await deployment.publish({
      number: 2,
      zonesTakenOut: ["sul-b"],
    });
    await assertInForce(assert, {
      deployment,
      vms: vmsInOtherZones,
      number: 2,
      since,
    });
    await delay(processPauseMilliseconds);
    const startedBeforeResume = await countStartedCalls(deployment, vmsInZone);
    pausedNode.process.kill("SIGCONT");
    await assertInForce(assert, {
      deployment,
      vms: deployment.vms,
      number: 2,
      since: Date.now(),
    });
    await delay(observationMilliseconds);
    assert.is(
      await countStartedCalls(deployment, vmsInZone) - startedBeforeResume,
      0,
    );
    assertSafetyProperties(
      assert,
      await collectObservations(deployment, caller),
    );
  }),
);

test.serial(
  "[point 11: connection gone silent] [point 7: contact lost after hand-over] [point 8: tries by the mesh] open connections to two nodes stop delivering data under load while new connections work",
  withDeployment(
    { hasRelay: (vm) => vm.vm === "vm-1" || vm.vm === "vm-4" },
    async (deployment, assert) => {
      const caller = deployment.startCaller({ seed: 13 });
      const { vms } = deployment;
      await delay(loadMilliseconds);
      await deployment.setRelayMode(vms[0]!, { openConnections: "silent" });
      await deployment.setRelayMode(vms[3]!, { openConnections: "silent" });
      const since = await deployment.publish({
        number: 2,
        retryBudgetPercent: 20,
      });
      await assertInForce(assert, { deployment, vms, number: 2, since });
      await delay(loadMilliseconds);
      await deployment.setRelayMode(vms[0]!, { openConnections: "cut" });
      await delay(loadMilliseconds);
      const observations = await collectObservations(deployment, caller);
      assertSafetyProperties(assert, observations);
      assert.is(
        observations.report.cut,
        0,
        "calls that were cut at the caller",
      );
    },
  ),
);

test.serial(
  "[point 9: list of VMs lagging] [point 9: counted at the backend server] a leaving backend server receives no calls while the list of VMs is out of date",
  withDeployment({}, async (deployment, assert) => {
    const caller = deployment.startCaller({ seed: 9 });
    const leavingVms = deployment.vms.slice(3, 4);
    await delay(loadMilliseconds);
    // On a busy machine the caller's process may take longer to start.
    await waitUntil(
      async () => await countStartedCalls(deployment, leavingVms) > 0,
      Date.now() + callerStartTimeoutMilliseconds,
    );
    await deployment.setPlatformFaults({ vmListLagMilliseconds: 600_000 });
    const names = leavingVms.map((vm) => vm.backendServerName);
    await deployment.publish({ number: 2, backendServersLeaving: names });
    await delay(propagationMilliseconds);
    const startedBefore = await countStartedCalls(deployment, leavingVms);
    await delay(observationMilliseconds);
    assert.true(startedBefore > 0, "no call ran at the leaving backend server");
    assert.is(
      await countStartedCalls(deployment, leavingVms) - startedBefore,
      0,
    );
    assertSafetyProperties(
      assert,
      await collectObservations(deployment, caller),
    );
  }),
);

test.serial(
  "[point 10: several nodes stopping in turn while the configuration changes] [point 10: keep-alive connections] [point 10: peers still sending] [point 10: long answers] three nodes are stopped in turn under load",
  withDeployment(
    {
      backendServer: { workMilliseconds: [20, 400] },
      timing: { drainMilliseconds: 3000 },
    },
    async (deployment, assert) => {
      const caller = deployment.startCaller({
        seed: 10,
        abandonShare: 0.2,
        services: createLongAnswerServices(),
      });
      await delay(loadMilliseconds);
      const stopping = [0, 4, 2].map((index) => deployment.vms[index]!);
      const statuses = await stopping.reduce(
        async (previous, vm, index) => {
          const ended = await previous;
          await deployment.publish({
            number: 2 + index,
            retryBudgetPercent: 11 + index,
          });
          const node = deployment.getNode(vm);
          node.process.kill("SIGTERM");
          return [...ended, await node.ended];
        },
        Promise.resolve<(number | null)[]>([]),
      );
      assert.deepEqual(statuses, [0, 0, 0]);
      await delay(loadMilliseconds);
      const observations = await collectObservations(deployment, caller);
      assertSafetyProperties(assert, observations);
      assert.deepEqual(
        observations.report.cutTokens,
        [],
        "calls that were cut",
      );
      assert.is(
        observations.report.unknownFirstAttempts,
        0,
        "first attempts with unknown outcome",
      );
    },
  ),
);

test.serial(
  "[point 4: counted at the backend server] every backend server returns to cold start under load but reports that it is ready",
  withDeployment(
    { backendServer: { workMilliseconds: [100, 200] } },
    async (deployment, assert) => {
      const caller = deployment.startCaller({
        seed: 4,
        callsPerSecond: 200,
        abandonMilliseconds: [1, 150],
      });
      await delay(loadMilliseconds);
      await Promise.all(deployment.vms.map(async (vm) => {
        await deployment.setBackendServerFaults(vm, { reportedState: "ready" });
        await deployment.setBackendServerState(vm, { cold: true });
      }));
      await delay(propagationMilliseconds);
      const observations = await collectObservations(deployment, caller);
      assertSafetyProperties(assert, observations);
      assert.deepEqual(observations.runs.map((run) => run.falls), [
        0,
        0,
        0,
        0,
        0,
        0,
      ]);
    },
  ),
);

test.serial(
  "[point 6: answer cut] [point 6: answer rubbish] [point 6: answer after its caller left] backend servers truncate, corrupt and delay answers while callers disconnect",
  withDeployment({}, async (deployment, assert) => {
    const { vms } = deployment;
    const faults = ["cut", "rubbish", "slow"];
    await Promise.all(
      vms.map((vm, index) =>
        deployment.setBackendServerFaults(vm, {
          answers: faults[index % faults.length],
          every: 5,
        })
      ),
    );
    const caller = deployment.startCaller({ seed: 6, abandonShare: 0.6 });
    await delay(loadMilliseconds * 2);
    const observations = await collectObservations(deployment, caller);
    assertSafetyProperties(assert, observations);
    assert.true(
      observations.report.unknown > 0,
      "no broken answer was reported",
    );
  }),
);

test.serial(
  "[point 11: platform down right after publishing] [point 11: reader killed] the platform goes down and a node is killed right after a publication",
  withDeployment({}, async (deployment, assert) => {
    const [killed, ...live] = deployment.vms;
    const since = await deployment.publish({
      number: 2,
      retryBudgetPercent: 20,
    });
    const waitUntilRead = async (): Promise<void> => {
      const versions = await getVersionsInForce(deployment, live);
      const isRead = [...versions.values()].some((version) =>
        version.number === 2
      );
      return isRead || Date.now() > since + propagationMilliseconds
        ? undefined
        : await waitUntilRead();
    };
    await waitUntilRead();
    await deployment.setPlatformFaults({ outage: true });
    deployment.getNode(killed!).process.kill("SIGKILL");
    await assertInForce(assert, { deployment, vms: live, number: 2, since });
  }),
);

test.serial(
  "[point 11: listed address differs from the node's own] nodes become ready when the list of VMs has the address of a relay in front of two of them",
  withDeployment(
    {
      hasRelay: (vm) => vm.vm === "vm-1" || vm.vm === "vm-4",
      listsRelay: true,
    },
    async (deployment, assert) => {
      const { vms } = deployment;
      const since = await deployment.publish({ number: 2 });
      await assertInForce(assert, { deployment, vms, number: 2, since });
    },
  ),
);

/** Returns a service with catalogue pages that are larger than the answer buffer of a node, and a service with orders. */
function createLongAnswerServices(): CallerService[] {
  return [
    {
      service: "vitrine",
      priority: "normal",
      method: "GET",
      weight: 1,
      bytes: 400_000,
      keyed: false,
      path: "/vitrine/page",
    },
    {
      service: "encomendas",
      priority: "high",
      method: "POST",
      weight: 3,
      bytes: 500,
      keyed: true,
      path: "/encomendas/page",
    },
  ];
}
