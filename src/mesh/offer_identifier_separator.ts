/** Separates the identifiers of offers in a header; no identifier contains it. */
export const offerIdentifierSeparator = ",";
