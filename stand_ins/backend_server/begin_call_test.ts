import test from "ava";
import { backendServerSettingsSchema } from "./backend_server_settings_schema.ts";
import { beginCall } from "./begin_call.ts";
import { createCapacityState } from "./create_capacity_state.ts";

const settings = backendServerSettingsSchema.parse({
  name: "encomendas-1",
  slots: 4,
  coldSlots: 1,
});

test("beginCall() makes a cold backend server collapse under full load", (t) => {
  const arrivals = Array.from({ length: 5 }, (_, index) => 1000 + index);
  const state = arrivals.reduce(
    (current, now) => beginCall(current, now).state,
    createCapacityState(settings),
  );
  t.like(state, { peakRunning: 1, overloadEvents: 4, falls: 1 });
  t.false(beginCall({ ...state, running: 0 }, 1100).admitted);
  t.true(beginCall({ ...state, running: 0 }, 3100).admitted);
});
