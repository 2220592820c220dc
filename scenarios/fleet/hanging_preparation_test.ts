import test from "ava";
import type { Snapshot } from "../../src/configuration/snapshot.ts";
import { createDistributionRuntime } from "../../src/distribution/create_distribution_runtime.ts";
import { BackendServerState } from "../../src/health/backend_server_state.ts";
import { NodeState } from "../../src/peers/node_state.ts";
import { createRandomSource } from "../../src/runtime/create_random_source.ts";
import { createControlNetwork } from "../../src/testing/create_control_network.ts";
import { createPlatformFake } from "../../src/testing/create_platform_fake.ts";
import { createVirtualTime } from "../../src/testing/create_virtual_time.ts";
import { createTestSettings } from "../../src/admission/testing/create_test_settings.ts";
import { createFleetConfiguration } from "./create_fleet_configuration.ts";

const startInstant = 10_000_000;
const seed = 2;
const settleMilliseconds = 10_000;
const convergenceLimitMilliseconds = 11_000;

test("[point 2: preparation of resources hangs] a version comes into force when its resources are prepared, or when the preparation times out", async (t) => {
  const time = createVirtualTime(startInstant);
  const platform = createPlatformFake(time);
  const settings = createTestSettings();
  const applied: Snapshot[] = [];
  const prepared: Snapshot[] = [];
  const finishPreparations: (() => void)[] = [];
  const runtime = createDistributionRuntime({
    settings,
    environment: {
      ...time,
      random: createRandomSource(seed),
      auditTrail: { record() {} },
      log: { debug() {}, info() {}, warn() {}, error() {} },
    },
    controlClient: createControlNetwork(time).createClient(
      settings.listeners.nodes,
    ),
    platformClient: platform.createClient(settings.vm),
    getOwnState: () => ({
      state: NodeState.Starting,
      backendServerState: BackendServerState.Ready,
      freeSlots: 1,
    }),
    prepareSnapshot(snapshot) {
      prepared.push(snapshot);
      return new Promise((resolve) => finishPreparations.push(resolve));
    },
    applySnapshot: (snapshot) => void applied.push(snapshot),
  });
  const publish = (number: number) =>
    platform.publish(
      createFleetConfiguration({ number, zones: 1, services: 1 }),
    );
  publish(1);
  runtime.start();
  const waitUntilPrepared = async (count: number): Promise<void> => {
    if (prepared.length < count) {
      await time.advanceTo(time.clock.now() + 10);
      await waitUntilPrepared(count);
    }
  };
  await waitUntilPrepared(1);
  t.deepEqual(applied, [], "in force before its resources were prepared");
  finishPreparations[0]?.();
  await time.advanceTo(time.clock.now() + 10);
  t.deepEqual(applied.map(({ version }) => version.number), [1]);

  await time.advanceTo(time.clock.now() + settleMilliseconds);
  publish(2);
  await waitUntilPrepared(2);
  t.is(applied.length, 1, "in force before its resources were prepared");
  await time.advanceTo(time.clock.now() + convergenceLimitMilliseconds);
  t.deepEqual(applied.map(({ version }) => version.number), [1, 2]);
  await runtime.stop();
});
