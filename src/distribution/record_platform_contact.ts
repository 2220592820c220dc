import type { DistributionContext } from "./distribution_context.ts";
import type { DistributionState } from "./distribution_state.ts";
import { getFallbackReadInstant } from "./get_fallback_read_instant.ts";

/**
 * Records that the platform responded to some node at an instant. A node that
 * is not a reader postpones its own read, since the readers are reading.
 */
export function recordPlatformContact(
  state: DistributionState,
  contact: { readonly at: number; readonly context: DistributionContext },
): DistributionState {
  const { platform } = state;
  return contact.at <= platform.heardAt ? state : {
    ...state,
    platform: {
      ...platform,
      heardAt: contact.at,
      nextReadAt: platform.isReader
        ? platform.nextReadAt
        : getFallbackReadInstant(state, {
          heardAt: contact.at,
          random: contact.context.random,
        }),
    },
  };
}
