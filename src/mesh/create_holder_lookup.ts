import { HolderKind } from "../address_holder/holder_kind.ts";
import type { SourceClient } from "../source/source_client.ts";
import { applySourceReading } from "./apply_source_reading.ts";
import type { MeshNode } from "./mesh_node.ts";
import { updateGate } from "./update_gate.ts";

const firstIntervalMilliseconds = 100;
const intervalMillisecondsMaximum = 2_000;
const intervalGrowth = 1.5;

/**
 * Creates the function that reads the register entry of the address holder, if
 * one is due: while it is not listed yet, it gets no calls, and the entry may
 * reach this node only with the next reading of the source.
 *
 * Only a backend server that takes the place of an earlier one is looked up: when
 * many nodes start, each of them is about to read the whole register.
 */
export function createHolderLookup(
  node: MeshNode,
  client: Pick<SourceClient, "readBackendServer">,
): () => void {
  let soughtIdentifier: string | undefined;
  let intervalMilliseconds = firstIntervalMilliseconds;
  let nextReadAt = 0;
  let isReading = false;

  async function read(identifier: string): Promise<void> {
    const result = await client.readBackendServer(identifier);
    isReading = false;
    // A failure of the source is reported where all of it is read.
    if (result.isErr || result.value.era !== node.view.sourceEra) return;
    applySourceReading(node.view, result.value, {
      complete: false,
      now: node.clock.now(),
    }).forEach(node.report.viewChange);
    updateGate(node);
  }

  return () => {
    const { kind, latest, own } = node.addressHolder;
    if (kind !== HolderKind.Unlisted || isReading) return;
    if (latest === undefined || own === undefined) return;
    const now = node.clock.now();
    if (latest.identifier !== soughtIdentifier) {
      soughtIdentifier = latest.identifier;
      intervalMilliseconds = firstIntervalMilliseconds;
      nextReadAt = now;
    }
    if (now < nextReadAt) return;
    nextReadAt = now + intervalMilliseconds;
    intervalMilliseconds = Math.min(
      intervalMillisecondsMaximum,
      intervalMilliseconds * intervalGrowth,
    );
    isReading = true;
    void read(latest.identifier);
  };
}
