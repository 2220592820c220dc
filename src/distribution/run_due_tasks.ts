import { queryStartupPeers } from "./query_startup_peers.ts";
import { chainSteps } from "./chain_steps.ts";
import type { DistributionContext } from "./distribution_context.ts";
import type { DistributionState } from "./distribution_state.ts";
import { listVms } from "./list_vms.ts";
import { scheduleIsolatedRead } from "./schedule_isolated_read.ts";
import { readPlatform } from "./read_platform.ts";
import { refreshOwnRecord } from "./refresh_own_record.ts";
import { runPeriodicExchange } from "./run_periodic_exchange.ts";
import { createTransition } from "./create_transition.ts";
import type { Transition } from "./transition.ts";
import { updateReaderRole } from "./update_reader_role.ts";

/** Starts every scheduled task that is due. */
export function runDueTasks(
  state: DistributionState,
  context: DistributionContext,
): Transition {
  const { now } = context;
  return chainSteps(state, [
    (current) =>
      !current.startup.isComplete && current.startup.nextQueryAt <= now
        ? queryStartupPeers(current, context)
        : createTransition(current),
    (current) =>
      current.exchange.nextExchangeAt <= now
        ? runPeriodicExchange(
          scheduleIsolatedRead(updateReaderRole(current, context), context),
          context,
        )
        : createTransition(current),
    (current) =>
      current.platform.nextListAt <= now
        ? listVms(current, context)
        : createTransition(current),
    (current) =>
      current.platform.nextReadAt <= now && !current.platform.isReading
        ? readPlatform(current, context)
        : createTransition(current),
    (current) =>
      createTransition(
        current.peers.nextRefreshAt <= now
          ? refreshOwnRecord(current)
          : current,
      ),
  ]);
}
