const significantDigits = 3;

/** Writes a figure with three significant digits and without an exponent. */
export function formatNumber(value: number): string {
  if (!Number.isFinite(value)) {
    return "–";
  }
  if (Math.abs(value) >= 100) {
    return String(Math.round(value));
  }
  return String(Number(value.toPrecision(significantDigits)));
}
