import type { Organisation } from "../../organisations/organisation.ts";
import type { GranterState } from "../../quotas/granter_state.ts";
import type { HolderState } from "../../quotas/holder_state.ts";
import type { TokenGrant } from "../../quotas/token_grant.ts";

/** A reply on its way to the node that has requested tokens. */
export interface PendingGrant {
  readonly grant: TokenGrant;
  readonly sentAt: number;
  readonly arrivesAt: number;
  readonly waitingCalls: number;
}

/** What the source lists at an instant. */
export interface SourceVersion {
  readonly since: number;
  readonly hosts: readonly string[];
  readonly organisation: Organisation;
}

/** A node in virtual time; one organisation only. */
export interface QuotaFleetNode {
  readonly host: string;
  /** From when its process runs; undefined if none runs. */
  startsAt: number;
  /** When its process, which stops, ends; infinity if it does not stop. */
  stopsAt: number;
  /** Until when other nodes may not know its host. */
  newUntil: number;
  /** Until when the VM is suspended. Its steady clock stands still meanwhile. */
  suspendedUntil: number;
  /** How far its steady clock is behind virtual time. */
  suspendedMilliseconds: number;
  /** Nodes of different sides do not reach each other. */
  side: number;
  isSourceReachable: boolean;
  /** Age of what it reads of the source. */
  lagMilliseconds: number;
  version: SourceVersion | undefined;
  /** Virtual time of the last reading. */
  confirmedAt: number;
  granter: GranterState | undefined;
  holder: HolderState;
  pending: PendingGrant | undefined;
  waitingCalls: number;
}

/** The nodes of one organisation's quota in virtual time. */
export interface QuotaFleet {
  now: number;
  readonly nodes: QuotaFleetNode[];
  /** In the order of time. */
  readonly versions: SourceVersion[];
  /** Share of the calls that do not run and give their token back. */
  notRunShare: number;
  /** The longest time between a request and its reply. */
  replyMilliseconds: number;
  readonly random: () => number;
  readonly runs: number[];
  readonly refusals: number[];
  messages: number;
}
