import { choosePeers } from "../peers/choose_peers.ts";
import { formatAddress } from "../runtime/format_address.ts";
import { CallPurpose } from "./call_purpose.ts";
import type { DistributionContext } from "./distribution_context.ts";
import { distributionLimits } from "./distribution_limits.ts";
import type { DistributionState } from "./distribution_state.ts";
import { exchangeWithPeers } from "./exchange_with_peers.ts";
import { StartupAnswer } from "./startup_answer.ts";
import type { Transition } from "./transition.ts";

const minWaveMilliseconds = 250;
const waveJitterMilliseconds = 250;

/** Asks some of the peers that have not answered yet which version they hold. */
export function askStartupPeers(
  state: DistributionState,
  { now, random }: DistributionContext,
): Transition {
  const { startup } = state;
  const settled = [...startup.answers]
    .filter(([, answer]) => answer !== StartupAnswer.Failed)
    .map(([key]) => key);
  const chosen = choosePeers(state.peers, {
    ownZone: distributionLimits.startupOwnZone,
    otherZones: distributionLimits.startupOtherZones,
    now,
    random,
    except: new Set(settled),
  });
  const pending = chosen.map(({ address }) =>
    [formatAddress(address), StartupAnswer.Pending] as const
  );
  return exchangeWithPeers(
    {
      ...state,
      startup: {
        ...startup,
        answers: new Map([...startup.answers, ...pending]),
        nextWaveAt: now + minWaveMilliseconds +
          random.next() * waveJitterMilliseconds,
      },
    },
    chosen,
    { purpose: CallPurpose.StartupQuestion, now },
  );
}
