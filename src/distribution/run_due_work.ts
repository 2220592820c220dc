import { askStartupPeers } from "./ask_startup_peers.ts";
import { chainSteps } from "./chain_steps.ts";
import type { DistributionContext } from "./distribution_context.ts";
import type { DistributionState } from "./distribution_state.ts";
import { listVms } from "./list_vms.ts";
import { noteIsolation } from "./note_isolation.ts";
import { readPlatform } from "./read_platform.ts";
import { refreshRecord } from "./refresh_record.ts";
import { runExchange } from "./run_exchange.ts";
import { stay } from "./stay.ts";
import type { Transition } from "./transition.ts";
import { updateReader } from "./update_reader.ts";

/** Begins everything whose instant has come. */
export function runDueWork(
  state: DistributionState,
  context: DistributionContext,
): Transition {
  const { now } = context;
  return chainSteps(state, [
    (current) =>
      !current.startup.decided && current.startup.nextWaveAt <= now
        ? askStartupPeers(current, context)
        : stay(current),
    (current) =>
      current.exchange.nextExchangeAt <= now
        ? runExchange(
          noteIsolation(updateReader(current, context), context),
          context,
        )
        : stay(current),
    (current) =>
      current.platform.nextListAt <= now
        ? listVms(current, context)
        : stay(current),
    (current) =>
      current.platform.nextReadAt <= now && !current.platform.isReading
        ? readPlatform(current, context)
        : stay(current),
    (current) =>
      stay(
        current.peers.nextRefreshAt <= now ? refreshRecord(current) : current,
      ),
  ]);
}
