import { createAdmissionPolicy } from "../../src/admission/create_admission_policy.ts";
import { createAdmissionRuntime } from "../../src/admission/create_admission_runtime.ts";
import { createFakeBackendServer } from "../../src/admission/testing/create_fake_backend_server.ts";
import { createTestEnvironment } from "../../src/admission/testing/create_test_environment.ts";
import { createTestSettings } from "../../src/admission/testing/create_test_settings.ts";
import { createRandomSource } from "../../src/runtime/create_random_source.ts";
import { registeredCapacity } from "./registered_capacity.ts";
import type { RunOptions } from "./run_options.ts";
import type { RunContext } from "./run_context.ts";

const queuedCalls = 24;
/** Offsets that make the random sequences of the backend server and the callers independent of the admission runtime's. */
const serverSeedOffset = 1_000;
const callersSeedOffset = 2_000;

/** Creates the admission runtime, the fake backend server and the random source of the callers for one run. */
export function createRunContext(
  options: RunOptions,
): Omit<RunContext, "count"> {
  const environment = createTestEnvironment(options.seed);
  const { clock, timers } = environment;
  const server = createFakeBackendServer({
    clock,
    timers,
    random: createRandomSource(options.seed + serverSeedOffset),
    ...registeredCapacity,
    serviceMilliseconds: 40,
    coldSlowdown: 1,
    warmingCalls: 1,
    kneeSlots: registeredCapacity.slots,
    crowdingPower: 1,
    fallSheds: 20,
    restartMilliseconds: 2_000,
    letGoMilliseconds: 10,
    oneWayMilliseconds: 0.5,
    probeMilliseconds: 6,
    ...options.server,
  });
  const settings = createTestSettings();
  const runtime = createAdmissionRuntime({
    settings,
    environment,
    prober: server.prober,
    policy: {
      ...createAdmissionPolicy(settings),
      queuedCalls,
      ...options.policy,
    },
  });
  const random = createRandomSource(options.seed + callersSeedOffset);
  return { environment, server, runtime, random };
}
