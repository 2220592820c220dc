import { createServiceCandidates } from "../balancing/create_service_candidates.ts";
import type { ServiceCandidates } from "../balancing/service_candidates.ts";
import { BackendServerAvailability } from "../register/backend_server_availability.ts";
import { isRemovalConfirmed } from "../register/is_removal_confirmed.ts";
import type { CandidatesCacheEntry } from "./candidates_cache_entry.ts";
import { findOwnServerRecord } from "./find_own_server_record.ts";
import { getGateView } from "./get_gate_view.ts";
import { getRecordsOfService } from "./get_records_of_service.ts";
import { getServiceLoad } from "./get_service_load.ts";
import type { MeshNode } from "./mesh_node.ts";

/**
 * Returns the backend servers of a service that may run calls: not draining, not
 * confirmed as removed, and not in a zone that is taken out. Those that stated to
 * leave are among them, since each choice checks that.
 *
 * They are cached until the register or the zones change or a removal counts,
 * since they are queried for each offer.
 */
export function getServiceCandidates(
  node: MeshNode,
  service: string,
): ServiceCandidates {
  const cached = node.serviceCandidates.get(service);
  if (cached !== undefined && isCurrent(node, service, cached)) {
    return cached.candidates;
  }
  const created = createEntry(node, service);
  node.serviceCandidates.set(service, created);
  return created.candidates;
}

function isCurrent(
  node: MeshNode,
  service: string,
  cached: CandidatesCacheEntry,
): boolean {
  const { pendingRecords } = cached;
  return cached.candidatesVersion === node.view.candidatesVersion &&
    node.clock.now() < cached.validUntil &&
    (pendingRecords === undefined ||
      pendingRecords === getRecordsOfService(node.view, service));
}

function createEntry(node: MeshNode, service: string): CandidatesCacheEntry {
  const now = node.clock.now();
  const { zonesTakenOut, candidatesVersion } = node.view;
  const records = getRecordsOfService(node.view, service);
  const listed = records.filter((record) =>
    record.entry.availability === BackendServerAvailability.Ready &&
    !zonesTakenOut.has(record.entry.zone) &&
    !isRemovalConfirmed(record, now)
  );
  // The register may still list an earlier incarnation at the same address.
  const ownIdentifier = findOwnServerRecord(node)?.entry.identifier;
  const candidates = createServiceCandidates(
    listed.map(({ entry, removedAt }) => ({
      entry,
      view: getGateView(node, entry.identifier),
      isRemoved: removedAt > 0,
    })),
    {
      ownZone: node.settings.zone,
      isOwn: ({ entry, isRemoved }) =>
        !isRemoved && entry.identifier === ownIdentifier,
      serviceLoad: getServiceLoad(node, service),
    },
  );
  const pending = listed.filter(({ removedAt }) => removedAt > 0);
  return {
    candidates,
    candidatesVersion,
    pendingRecords: pending.length > 0 ? records : undefined,
    validUntil: pending.reduce(
      (earliest, { removalConfirmedAt }) =>
        Math.min(earliest, removalConfirmedAt),
      Number.POSITIVE_INFINITY,
    ),
  };
}
