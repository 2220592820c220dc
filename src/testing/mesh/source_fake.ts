import type { SourceClient } from "../../source/source_client.ts";
import type { SourceFact } from "../../source/source_fact.ts";

/** A source in memory that several nodes may follow. */
export interface SourceFake {
  put(key: string, fact: SourceFact): void;
  remove(key: string): void;
  /** While it is down, every read fails. */
  setDown(down: boolean): void;
  createClient(): SourceClient;
}
