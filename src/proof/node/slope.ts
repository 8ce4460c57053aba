/** A measured value at one size. */
export interface Point {
    readonly size: number;
    readonly value: number;
}

/** A line fitted to measured points. */
export interface Slope {
    readonly name: string;
    /** Unit of the value per unit of the size. */
    readonly unit: string;
    readonly perUnit: number;
    readonly constant: number;
    /** Root mean square deviation of the points from the line, divided by the largest value. */
    readonly residual: number;
    readonly points: readonly Point[];
}

/**
 * Fits a line by least squares.
 * @param name What was measured.
 * @param unit Unit of the value per unit of the size.
 * @param points At least four points.
 * @returns The line.
 */
export function fitLine(name: string, unit: string, points: readonly Point[]): Slope {
    const count = points.length;
    const meanSize = points.reduce((sum, each) => sum + each.size, 0) / count;
    const meanValue = points.reduce((sum, each) => sum + each.value, 0) / count;
    const covariance = points.reduce((sum, each) => sum + (each.size - meanSize) * (each.value - meanValue), 0);
    const variance = points.reduce((sum, each) => sum + (each.size - meanSize) ** 2, 0);
    const perUnit = covariance / variance;
    const constant = meanValue - perUnit * meanSize;
    const sumOfSquares = points.reduce((sum, each) => sum + (each.value - constant - perUnit * each.size) ** 2, 0);
    const maxValue = Math.max(...points.map(each => Math.abs(each.value)), Number.MIN_VALUE);
    return { name, unit, perUnit, constant, residual: Math.sqrt(sumOfSquares / count) / maxValue, points };
}
