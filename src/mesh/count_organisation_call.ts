import { getOrCreate } from "../collections/get_or_create.ts";
import type { CallEvent } from "./call_event.ts";
import type { OrganisationCount } from "./organisation_count.ts";

/** Bounds the number of labels, also if organisations come and go for months. */
const labelsMaximum = 500;
/** Counts the calls of further organisations; no name, since names are not empty. */
const otherOrganisations = "";

/** Counts an event of a call for the caller's organisation; ignores others. */
export function countOrganisationCall(
  counts: Map<string, OrganisationCount>,
  { kind, organisation }: CallEvent,
): void {
  if (organisation === undefined) return;
  const isCounted = counts.size < labelsMaximum ||
    counts.has(getKey(organisation));
  const counted = isCounted ? organisation : otherOrganisations;
  getOrCreate(counts, getKey(counted), {
    create: () => ({ labels: { organisation: counted, kind }, calls: 0 }),
  }).calls += 1;

  function getKey(name: string): string {
    return `${kind} ${name}`;
  }
}
