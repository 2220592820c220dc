import type { SourceClient } from "../../source/source_client.ts";
import type { SourceValue } from "../../source/source_value.ts";

/** A source in memory that several nodes may follow. */
export interface SourceFake {
  put(key: string, fact: SourceValue): void;
  remove(key: string): void;
  /** While it is down, every read fails. */
  setDown(down: boolean): void;
  /** Turns one client away and serves the others; clients count from 0 in the order of their creation. */
  setTurnedAway(client: number, turnedAway: boolean): void;
  /** Returns how often each client has read. */
  getReads(): readonly number[];
  createClient(): SourceClient;
}
